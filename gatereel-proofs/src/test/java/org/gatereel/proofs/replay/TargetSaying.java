package org.gatereel.proofs.replay;

import java.util.HashMap;
import java.util.Map;
import org.gatereel.core.model.Address;

/** A target that says that it leaves, or turns all away and asks for rest; and what it gets. */
final class TargetSaying {
  /** From so long after a target asked a host for rest its requests count. */
  private static final long REST_BINDS_MILLIS = 500;

  /** A host that was told, and one that another host told, send nothing new after this time. */
  private static final long TOLD_MILLIS = 200;

  private static final long KNOWN_MILLIS = 1_000;

  private static final long NEVER = Long.MAX_VALUE / 2;

  private final boolean leaves;
  private final long restMillis;
  private final Map<Address, Long> toldAt = new HashMap<>();
  private final Map<Address, Rest> rests = new HashMap<>();
  private long firstToldAt = NEVER;
  private long over = NEVER;
  private long firstAfterAt = NEVER;
  private int sentByTold;
  private int sentByAny;
  private int mostInRest;
  private int refused;

  /** One rest that a host was asked for. */
  private static final class Rest {
    private long from;
    private long until;
    private int came;
  }

  private TargetSaying(boolean leaves, long restMillis) {
    this.leaves = leaves;
    this.restMillis = restMillis;
  }

  static TargetSaying leaving() {
    return new TargetSaying(true, 0);
  }

  /** Makes one that turns each request away and asks for so much rest. */
  static TargetSaying resting(long millis) {
    return new TargetSaying(false, millis);
  }

  boolean leaves() {
    return leaves;
  }

  /** Returns whether requests are turned away. */
  boolean refuses() {
    return restMillis > 0 && over == NEVER;
  }

  long restMillis() {
    return restMillis;
  }

  /** Notes that an answer was sent. */
  void answered(Address host, long now) {
    if (refuses()) {
      refused++;
      Rest rest = rests.computeIfAbsent(host, any -> new Rest());
      if (now >= rest.until) {
        rest.from = now + REST_BINDS_MILLIS;
        rest.came = 0;
      }
      rest.until = Math.max(rest.until, now + restMillis);
    }
  }

  /** Notes that a host was given an answer. */
  void told(Address host, long now) {
    toldAt.putIfAbsent(host, now);
    firstToldAt = Math.min(firstToldAt, now);
  }

  /** Notes a request that a host sent at some time. */
  void arrived(Address host, long sentAt, long now) {
    if (leaves && over == NEVER) {
      sentByTold += sentAt > toldAt.getOrDefault(host, NEVER) + TOLD_MILLIS ? 1 : 0;
      sentByAny += sentAt > firstToldAt + KNOWN_MILLIS ? 1 : 0;
    }
    if (over != NEVER) {
      firstAfterAt = Math.min(firstAfterAt, now);
    }
    Rest rest = rests.get(host);
    if (rest != null && now >= rest.from && now < rest.until) {
      rest.came++;
      mostInRest = Math.max(mostInRest, rest.came);
    }
  }

  /** The target has ended, or takes requests again. */
  void end(long now) {
    over = Math.min(over, now);
  }

  /** Returns the requests of hosts that had been told themselves. */
  int sentByTold() {
    return sentByTold;
  }

  /** Returns the requests after all hosts had to know. */
  int sentByAny() {
    return sentByAny;
  }

  /** Returns the most requests of one host within one rest. */
  int mostInRest() {
    return mostInRest;
  }

  /** Returns how many requests were turned away. */
  int refused() {
    return refused;
  }

  /** Returns how long after all rests had ended nothing came; 0 if there was none. */
  long idleMillis() {
    long free =
        Math.max(over, rests.values().stream().mapToLong(rest -> rest.until).max().orElse(0));
    return restMillis == 0 || over == NEVER ? 0 : Math.max(0, firstAfterAt - free);
  }
}
