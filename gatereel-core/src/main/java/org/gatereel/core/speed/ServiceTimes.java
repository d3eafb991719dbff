package org.gatereel.core.speed;

import java.util.Collection;
import java.util.function.Function;
import org.gatereel.core.load.LearntTime;
import org.gatereel.core.load.TargetTimes;

/**
 * The medians of a service's targets, with which one target is compared.
 *
 * @param eventMillis the median time of an event; NaN if unknown
 * @param workMillis the median time for 1,000 tokens of a prompt, or for a call; NaN if unknown
 */
record ServiceTimes(double eventMillis, double workMillis) {
  /** With fewer targets that have samples, a median says nothing about one of them. */
  private static final int MIN_TARGETS = 3;

  /** One sample of work takes as long as several samples of events. */
  private static final double WORK_SAMPLE_WEIGHT = 4;

  /** The weight of the assumption that a target is as fast as the median. */
  private static final double PRIOR_WEIGHT = 2;

  /** The largest ratio that counts, so that a wrong figure has a bounded effect. */
  private static final double MAX_RATIO = 2.5;

  /** Smaller ratios are not measurable. */
  private static final double MIN_RATIO = 1.1;

  static ServiceTimes of(Collection<TargetTimes> times) {
    return new ServiceTimes(median(times, TargetTimes::event), median(times, TargetTimes::work));
  }

  private static double median(
      Collection<TargetTimes> times, Function<TargetTimes, LearntTime> which) {
    double[] known =
        times.stream()
            .map(which)
            .filter(LearntTime::isKnown)
            .mapToDouble(LearntTime::millis)
            .sorted()
            .toArray();
    return known.length < MIN_TARGETS ? Double.NaN : known[(known.length - 1) / 2];
  }

  /** Returns the time of a target relative to the medians; 1 if it does not differ measurably. */
  double relativeTime(TargetTimes times) {
    double eventWeight = Double.isNaN(eventMillis) ? 0 : times.event().weight();
    double workWeight = Double.isNaN(workMillis) ? 0 : WORK_SAMPLE_WEIGHT * times.work().weight();
    if (eventWeight + workWeight == 0) {
      return 1;
    }
    double sum =
        weightedLog(eventWeight, times.event(), eventMillis)
            + weightedLog(workWeight, times.work(), workMillis);
    double ratio = Math.exp(sum / (eventWeight + workWeight + PRIOR_WEIGHT));
    if (ratio < MIN_RATIO && ratio > 1 / MIN_RATIO) {
      return 1;
    }
    return Math.max(1 / MAX_RATIO, Math.min(MAX_RATIO, ratio));
  }

  private static double weightedLog(double weight, LearntTime time, double median) {
    return weight == 0 ? 0 : weight * (time.logMillis() - Math.log(median));
  }
}
