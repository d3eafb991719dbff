package org.gatereel.core.statement;

import java.util.Optional;
import java.util.OptionalDouble;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.model.TargetId;

/** The kinds of facts about targets that hosts store and exchange. */
public enum FactKind {
  /** The number of requests a second that a target accepts; unlimited without a value. */
  LIMIT(EventCode.LIMIT_ANNOUNCED, "perSecond", FactKind.MINUTE_MILLIS) {
    @Override
    public Optional<TargetFact> create(TargetId target, OptionalDouble value, long announcedAt) {
      double perSecond = value.orElse(Double.POSITIVE_INFINITY);
      return perSecond < 0
          ? Optional.empty()
          : Optional.of(new LimitFact(target, new AnnouncedLimit(perSecond, announcedAt)));
    }
  },
  /** The target is about to end. */
  LEAVING(EventCode.LEAVING_ANNOUNCED, "leaving", FactKind.LEAVING_RETENTION_MILLIS) {
    @Override
    public Optional<TargetFact> create(TargetId target, OptionalDouble value, long announcedAt) {
      return Optional.of(new LeavingFact(target, announcedAt));
    }
  },
  /** The target has requested a backoff from a host; the value is its duration in milliseconds. */
  REST(EventCode.REST_ANNOUNCED, "restMillis", FactKind.MINUTE_MILLIS) {
    @Override
    public Optional<TargetFact> create(TargetId target, OptionalDouble value, long announcedAt) {
      double millis = value.orElse(-1);
      return millis < 0
          ? Optional.empty()
          : Optional.of(
              new BackoffFact(
                  target,
                  announcedAt,
                  announcedAt
                      + Math.min(AnnouncementParser.MAX_BACKOFF_MILLIS, Math.round(millis))));
    }
  };

  private static final long MINUTE_MILLIS = 60_000;

  /** Longer than a target serves requests after it announces that it is leaving. */
  private static final long LEAVING_RETENTION_MILLIS = 10 * MINUTE_MILLIS;

  private final EventCode code;
  private final String logKey;
  private final long retentionMillis;

  FactKind(EventCode code, String valueName, long keptMillis) {
    this.code = code;
    this.logKey = valueName;
    this.retentionMillis = keptMillis;
  }

  /**
   * Creates a fact of this kind; empty if the value is invalid.
   *
   * @param announcedAt when the target announced it, on the steady clock of this host in
   *     milliseconds
   */
  public abstract Optional<TargetFact> create(
      TargetId target, OptionalDouble value, long announcedAt);

  EventCode code() {
    return code;
  }

  String logKey() {
    return logKey;
  }

  /** Returns how long a fact is kept after its target is no longer listed. */
  long retentionMillis() {
    return retentionMillis;
  }
}
