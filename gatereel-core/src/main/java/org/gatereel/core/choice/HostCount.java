package org.gatereel.core.choice;

/** Counts the hosts that select among the same targets. */
public interface HostCount {
  /** Returns the number of hosts in all data centres; at least one. */
  int allHosts();

  /** Returns the number of hosts in the data centre of this host; at least one. */
  int localHosts();
}
