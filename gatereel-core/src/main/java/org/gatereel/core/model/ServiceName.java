package org.gatereel.core.model;

import java.util.Objects;

/** The name of a service, which is provided by a set of targets. */
public record ServiceName(String value) {
  public ServiceName {
    Objects.requireNonNull(value, "value");
  }

  @Override
  public String toString() {
    return value;
  }
}
