package org.gatereel.core.table;

/** Identifies one row of the table. */
public record RowKey(RowKind kind, String name) implements Comparable<RowKey> {
  @Override
  public int compareTo(RowKey other) {
    int byKind = kind.compareTo(other.kind);
    return byKind != 0 ? byKind : name.compareTo(other.name);
  }

  @Override
  public String toString() {
    return kind.externalName() + "/" + name;
  }
}
