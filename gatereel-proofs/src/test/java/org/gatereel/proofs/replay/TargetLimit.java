package org.gatereel.proofs.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gatereel.core.model.Address;

/** The limit that a target names for a while, and what it gets meanwhile. */
final class TargetLimit {
  /** By then all hosts in touch keep to a limit, after the target first named it. */
  private static final long KNOWN_MILLIS = 3_000;

  /** A host is bound by an answer that it was given so long before. */
  private static final long TOLD_MILLIS = 500;

  private static final long WINDOW_MILLIS = 4_000;

  /** What a target bears of its limit in each window, and beside it. */
  private static final double BORNE_PART = 1.5;

  private static final double BORNE_BESIDE = 5;

  private static final double LEAST_MEASURED = 20;

  private final double perSecond;
  private final List<Arrival> arrivals = new ArrayList<>();
  private final Map<Address, Long> toldAt = new HashMap<>();
  private long namedAt = -1;
  private long endedAt = Long.MAX_VALUE;

  private record Arrival(long at, boolean fromTold) {}

  TargetLimit(double perSecond) {
    this.perSecond = perSecond;
  }

  double perSecond() {
    return perSecond;
  }

  /** Notes that an answer names the limit. */
  void named(long now) {
    if (namedAt < 0) {
      namedAt = now;
    }
  }

  /** Notes that a host was given an answer that names it. */
  void told(Address host, long now) {
    toldAt.putIfAbsent(host, now);
  }

  /** Notes a request, whatever becomes of it. */
  void arrived(Address host, long now) {
    boolean told = toldAt.getOrDefault(host, Long.MAX_VALUE) <= now - TOLD_MILLIS;
    arrivals.add(new Arrival(now, told));
  }

  void end(long now) {
    endedAt = Math.min(endedAt, now);
  }

  double borne() {
    return BORNE_PART * perSecond * WINDOW_MILLIS / 1_000 + BORNE_BESIDE;
  }

  /** Returns the most requests of hosts that were told within a window, once all have to know. */
  long mostInWindow() {
    long most = 0;
    int from = 0;
    List<Arrival> told = arrivals.stream().filter(Arrival::fromTold).toList();
    for (int last = 0; last < told.size(); last++) {
      long end = told.get(last).at();
      while (told.get(from).at() <= end - WINDOW_MILLIS) {
        from++;
      }
      if (end >= namedAt + KNOWN_MILLIS && end < endedAt) {
        most = Math.max(most, last - from + 1);
      }
    }
    return most;
  }

  /** Returns by how much the worst window is over what the target bears; not positive if none. */
  double excess() {
    return namedAt < 0 ? 0 : mostInWindow() - borne();
  }

  /** Returns how many requests came since all have to know. */
  long used() {
    return arrivals.stream().filter(each -> each.at() >= namedAt + KNOWN_MILLIS).count();
  }

  /** Returns how many the target would have taken since then; 0 if that is no time. */
  double taken() {
    return namedAt < 0 ? 0 : perSecond * Math.max(0, endedAt - namedAt - KNOWN_MILLIS) / 1_000;
  }

  /** Returns whether the target takes enough for its part to be told from chance. */
  boolean isMeasured() {
    return taken() >= LEAST_MEASURED;
  }
}
