package org.gatereel.core.model;

import java.util.List;

/** The platform's list of live and leaving hosts; it lags behind the truth. */
public record HostList(long version, List<HostDescription> hosts, List<TargetDescription> targets) {
  public HostList {
    hosts = List.copyOf(hosts);
    targets = List.copyOf(targets);
  }
}
