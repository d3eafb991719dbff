package org.gatereel.core.load;

/**
 * The times that one or more hosts have learnt of a target.
 *
 * @param event the time of an event while the target reads no prompt
 * @param work the time for reading 1,000 tokens of a prompt, or for a call of a plain service
 */
public record TargetTimes(LearntTime event, LearntTime work) {
  public static final TargetTimes UNKNOWN = new TargetTimes(LearntTime.UNKNOWN, LearntTime.UNKNOWN);

  public boolean isKnown() {
    return event.isKnown() || work.isKnown();
  }

  boolean isValid() {
    return event.isValid() && work.isValid();
  }

  /** Combines the times of different hosts by their weights. */
  public TargetTimes plus(TargetTimes other) {
    if (!isKnown() || !other.isKnown()) {
      return isKnown() ? this : other;
    }
    return new TargetTimes(event.plus(other.event), work.plus(other.work));
  }

  TargetTimes withWeightUpTo(double maxWeight) {
    return isKnown()
        ? new TargetTimes(event.withWeightUpTo(maxWeight), work.withWeightUpTo(maxWeight))
        : this;
  }

  boolean differsNoticeablyFrom(TargetTimes reported) {
    return event.differsNoticeablyFrom(reported.event) || work.differsNoticeablyFrom(reported.work);
  }
}
