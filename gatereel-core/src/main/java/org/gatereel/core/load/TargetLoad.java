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

  boolean isNone() {
    return equals(NONE);
  }
}
