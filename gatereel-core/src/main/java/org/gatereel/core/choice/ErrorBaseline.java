package org.gatereel.core.choice;

import java.util.Collection;
import java.util.function.ToDoubleFunction;
import org.gatereel.core.target.TargetState;

/**
 * How many errors the targets of a service gave lately, and which number stands out.
 *
 * <p>A target that answers each request with an error at once looks as if it had nothing to do, and
 * draws more of them. But on some routes errors are the request's own, and all targets give some:
 * what counts is more than half of the targets gave. So none stands out where all are alike, and
 * never more than half of them do.
 */
final class ErrorBaseline {
  /** Counts differ by chance by about the root of their mean; twice that is seldom chance. */
  private static final double CHANCE = 2;

  private final double most;

  private ErrorBaseline(double most) {
    this.most = most;
  }

  static ErrorBaseline of(Collection<TargetState> targets, ToDoubleFunction<TargetState> errors) {
    double[] counts = targets.stream().mapToDouble(errors).sorted().toArray();
    if (counts.length == 0) {
      return new ErrorBaseline(Double.POSITIVE_INFINITY);
    }
    double median = counts[(counts.length - 1) / 2];
    boolean alike = counts[counts.length - 1] == 0;
    return new ErrorBaseline(alike ? Double.POSITIVE_INFINITY : median + CHANCE * Math.sqrt(median));
  }

  /** Returns by how much a number of errors exceeds what is usual; 0 if it does not. */
  double excess(double errors) {
    return Math.max(0, errors - most);
  }
}
