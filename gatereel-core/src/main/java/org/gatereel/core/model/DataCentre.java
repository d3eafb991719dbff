package org.gatereel.core.model;

import java.util.Objects;

/** The name of a data centre. */
public record DataCentre(String value) {
  public DataCentre {
    Objects.requireNonNull(value, "value");
  }

  @Override
  public String toString() {
    return value;
  }
}
