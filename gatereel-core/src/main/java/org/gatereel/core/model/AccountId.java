package org.gatereel.core.model;

import java.util.Objects;

/** The id of a client account. */
public record AccountId(String value) {
  public AccountId {
    Objects.requireNonNull(value, "value");
  }

  @Override
  public String toString() {
    return value;
  }
}
