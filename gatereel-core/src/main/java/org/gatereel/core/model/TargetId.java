package org.gatereel.core.model;

import java.util.Objects;

/** Names one target: a model engine or a plain service instance. */
public record TargetId(String value) {
  public TargetId {
    Objects.requireNonNull(value, "value");
  }

  @Override
  public String toString() {
    return value;
  }
}
