package org.gatereel.core.statement;

import java.util.Optional;
import java.util.OptionalDouble;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.model.TargetId;

/** The kinds of what targets say that hosts keep and tell each other. */
public enum FactKind {
  /** How many requests a second a target takes; without a number it takes any. */
  LIMIT(EventCode.LIMIT_ANNOUNCED, "perSecond", FactKind.MINUTE_MILLIS) {
    @Override
    public Optional<TargetFact> create(TargetId target, OptionalDouble value, long since) {
      double perSecond = value.orElse(Double.POSITIVE_INFINITY);
      return perSecond < 0
          ? Optional.empty()
          : Optional.of(new LimitFact(target, new AnnouncedLimit(perSecond, since)));
    }
  },
  /** A target is about to end. */
  LEAVING(EventCode.LEAVING_ANNOUNCED, "leaving", FactKind.LEAVING_KEPT_MILLIS) {
    @Override
    public Optional<TargetFact> create(TargetId target, OptionalDouble value, long since) {
      return Optional.of(new LeavingFact(target, since));
    }
  },
  /** A target wants nothing for some time from a host; the number is that time in milliseconds. */
  REST(EventCode.REST_ANNOUNCED, "restMillis", FactKind.MINUTE_MILLIS) {
    @Override
    public Optional<TargetFact> create(TargetId target, OptionalDouble value, long since) {
      double millis = value.orElse(-1);
      return millis < 0
          ? Optional.empty()
          : Optional.of(
              new BackoffFact(
                  target,
                  since,
                  since + Math.min(AnnouncementParser.MAX_BACKOFF_MILLIS, Math.round(millis))));
    }
  };

  private static final long MINUTE_MILLIS = 60_000;

  /** Longer than a target serves on after it has said that it leaves. */
  private static final long LEAVING_KEPT_MILLIS = 10 * MINUTE_MILLIS;

  private final EventCode code;
  private final String logKey;
  private final long retentionMillis;

  FactKind(EventCode code, String valueName, long keptMillis) {
    this.code = code;
    this.logKey = valueName;
    this.retentionMillis = keptMillis;
  }

  /**
   * Makes a fact of this kind; empty if the value is none that it can have.
   *
   * @param since when the target said it, on this host's steady clock in milliseconds
   */
  public abstract Optional<TargetFact> create(TargetId target, OptionalDouble value, long since);

  EventCode code() {
    return code;
  }

  String logKey() {
    return logKey;
  }

  /** Returns for how long a fact of a target that is listed no more is kept. */
  long retentionMillis() {
    return retentionMillis;
  }
}
