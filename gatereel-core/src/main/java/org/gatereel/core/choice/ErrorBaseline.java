package org.gatereel.core.choice;

import java.util.Collection;
import java.util.function.ToDoubleFunction;
import org.gatereel.core.target.TargetState;

/**
 * The number of recent errors above which a target of a service is an outlier.
 *
 * <p>The threshold lies above the median of all targets of the service, because errors that are
 * caused by the requests themselves occur at all targets. At most half of the targets are outliers.
 */
final class ErrorBaseline {
  /** Number of standard deviations above the median, for counts with a Poisson distribution. */
  private static final double DEVIATION_FACTOR = 2;

  private final double threshold;

  private ErrorBaseline(double threshold) {
    this.threshold = threshold;
  }

  static ErrorBaseline of(Collection<TargetState> targets, ToDoubleFunction<TargetState> errors) {
    double[] counts = targets.stream().mapToDouble(errors).sorted().toArray();
    if (counts.length == 0) {
      return new ErrorBaseline(Double.POSITIVE_INFINITY);
    }
    double median = counts[(counts.length - 1) / 2];
    boolean allZero = counts[counts.length - 1] == 0;
    return new ErrorBaseline(
        allZero ? Double.POSITIVE_INFINITY : median + DEVIATION_FACTOR * Math.sqrt(median));
  }

  /** Returns by how much a number of errors exceeds the threshold; 0 if it does not. */
  double excess(double errors) {
    return Math.max(0, errors - threshold);
  }
}
