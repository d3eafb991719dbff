package org.gatereel.core.choice;

/** Tells how many hosts choose among the same targets. */
public interface HostCount {
  /** Returns how many hosts there are; at least one. */
  int allHosts();

  /** Returns how many of them are in this data centre; at least one. */
  int localHosts();
}
