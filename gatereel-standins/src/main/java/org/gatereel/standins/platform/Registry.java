package org.gatereel.standins.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.gatereel.core.model.HostDescription;
import org.gatereel.core.model.HostList;
import org.gatereel.core.model.TargetDescription;

/** The list of hosts and targets, which is shown only after a lag. */
final class Registry {
  private final long lagNanos;
  private final Map<String, HostDescription> hosts = new TreeMap<>();
  private final Map<String, TargetDescription> targets = new TreeMap<>();
  private final Deque<Dated> versions = new ArrayDeque<>();
  private HostList shown = new HostList(0, List.of(), List.of());
  private long version;

  private record Dated(long nanos, HostList list) {}

  Registry(long lagMillis) {
    lagNanos = lagMillis * 1_000_000;
  }

  synchronized void put(HostDescription host) {
    hosts.put(host.id().value(), host);
    changed();
  }

  synchronized void put(TargetDescription target) {
    targets.put(target.id().value(), target);
    changed();
  }

  synchronized void remove(String id) {
    hosts.remove(id);
    targets.remove(id);
    changed();
  }

  private void changed() {
    version++;
    versions.add(
        new Dated(
            System.nanoTime(),
            new HostList(version, List.copyOf(hosts.values()), List.copyOf(targets.values()))));
  }

  /** Returns the list as of one lag ago; the first entries are visible at once. */
  synchronized HostList list() {
    long now = System.nanoTime();
    while (!versions.isEmpty()
        && (now - versions.peek().nanos() >= lagNanos || shown.version() == 0)) {
      shown = versions.poll().list();
    }
    return shown;
  }
}
