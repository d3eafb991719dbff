package org.gatereel.core.model;

import java.util.Objects;

/** Names one service, which a set of targets provides. */
public record ServiceName(String value) {
  public ServiceName {
    Objects.requireNonNull(value, "value");
  }

  @Override
  public String toString() {
    return value;
  }
}
