package org.gatereel.core.model;

import java.util.Objects;

/** The id of an entry host; unique among live hosts. */
public record HostId(String value) {
  public HostId {
    Objects.requireNonNull(value, "value");
  }

  @Override
  public String toString() {
    return value;
  }
}
