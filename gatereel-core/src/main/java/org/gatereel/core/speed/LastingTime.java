package org.gatereel.core.speed;

import org.gatereel.core.load.LearntTime;

/**
 * Estimates how long a target takes for a unit of work while nothing delays it.
 *
 * <p>The estimate lies near the lower quartile of the samples: it follows shorter ones fast and
 * longer ones slowly, and by a bounded step. So other work at the target and moments in which it is
 * slow hardly raise it.
 */
final class LastingTime {
  private static final double GAIN_DOWN = 0.3;
  private static final double GAIN_UP = 0.06;

  /** The largest difference of a longer sample that counts, on a logarithmic scale. */
  private static final double MAX_LOG_STEP_UP = 0.5;

  private static final double MIN_MILLIS = 0.1;

  /** Several times as long as the moments in which a target is slow. */
  private static final double WEIGHT_HALF_LIFE_MILLIS = 20_000;

  /** A lower weight is reported as unknown. */
  static final double MIN_WEIGHT = 0.5;

  private double logMillis;
  private double weight;
  private long recordedAt;

  /** Adds a sample of a unit of work in milliseconds. */
  void record(double millis, long now) {
    double sample = Math.log(Math.max(MIN_MILLIS, millis));
    weight = weightAt(now);
    recordedAt = now;
    if (weight < MIN_WEIGHT) {
      logMillis = sample;
    } else {
      double difference = Math.min(MAX_LOG_STEP_UP, sample - logMillis);
      logMillis += (difference < 0 ? GAIN_DOWN : GAIN_UP) * difference;
    }
    weight = Math.min(LearntTime.MAX_HOST_WEIGHT, weight + 1);
  }

  private double weightAt(long now) {
    return weight == 0 ? 0 : weight * Math.pow(0.5, (now - recordedAt) / WEIGHT_HALF_LIFE_MILLIS);
  }

  /** Returns the time with its weight, which halves while no samples are added. */
  LearntTime at(long now) {
    double current = weightAt(now);
    return current < MIN_WEIGHT ? LearntTime.UNKNOWN : new LearntTime(logMillis, current);
  }
}
