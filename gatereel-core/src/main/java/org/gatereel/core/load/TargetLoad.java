package org.gatereel.core.load;

/**
 * The load that one or more hosts have at a target.
 *
 * @param open open requests
 * @param reading open requests whose prompt the target has probably not finished reading
 * @param copies copies of other targets' executions at the target
 * @param errors recent error responses
 * @param failedAt when one of the hosts last observed a failure of the target, on this host's
 *     steady clock in milliseconds; {@link #NEVER} if there was none recently
 */
public record TargetLoad(int open, int reading, int copies, int errors, long failedAt) {
  /** The value of {@code failedAt} if there was no recent failure. */
  public static final long NEVER = Long.MIN_VALUE;

  /** The weight of a prompt relative to an open request, as in the choice of targets. */
  private static final int PROMPT_WEIGHT = 2;

  /** The weight of a failure relative to an open request, as in the choice of targets. */
  private static final int FAILURE_WEIGHT = 10;

  public static final TargetLoad NONE = new TargetLoad(0, 0, 0, 0, NEVER);

  /** Adds the load of other hosts, with the later of both failure times. */
  TargetLoad plus(TargetLoad other) {
    return new TargetLoad(
        open + other.open,
        reading + other.reading,
        copies + other.copies,
        errors + other.errors,
        Math.max(failedAt, other.failedAt));
  }

  /** Returns how much a choice between targets changes if a host knows {@code current} instead. */
  double differenceTo(TargetLoad current) {
    boolean otherFailure = failedAt != current.failedAt;
    return Math.abs(open - current.open)
        + PROMPT_WEIGHT * Math.abs(reading - current.reading)
        + Math.abs(copies - current.copies)
        + Math.abs(errors - current.errors)
        + (otherFailure ? FAILURE_WEIGHT : 0);
  }

  boolean isNone() {
    return equals(NONE);
  }
}
