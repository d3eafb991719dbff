package org.gatereel.core.model;

import java.util.List;

/** The platform's list of entry hosts and targets, which may be out of date. */
public record HostList(long version, List<HostDescription> hosts, List<TargetDescription> targets) {
  public HostList {
    hosts = List.copyOf(hosts);
    targets = List.copyOf(targets);
  }
}
