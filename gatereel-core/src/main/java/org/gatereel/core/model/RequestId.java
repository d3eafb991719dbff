package org.gatereel.core.model;

import java.util.Objects;

/** The id of a generation, chosen at random by the entry host that accepted it. */
public record RequestId(String value) {
  public RequestId {
    Objects.requireNonNull(value, "value");
  }

  @Override
  public String toString() {
    return value;
  }
}
