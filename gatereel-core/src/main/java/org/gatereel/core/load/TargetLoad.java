package org.gatereel.core.load;

/**
 * What one or more hosts have at a target.
 *
 * @param open requests that are open
 * @param reading those of them whose prompt the target is probably still reading
 * @param copies copies of other targets' runs that the target holds
 * @param errors answers that were errors lately
 * @param failedAt when one of the hosts last saw the target fail, on this host's steady clock in
 *     milliseconds; {@link #NEVER} if none did lately
 */
public record TargetLoad(int open, int reading, int copies, int errors, long failedAt) {
  /** No failure is known. */
  public static final long NEVER = Long.MIN_VALUE;

  /** Nothing is there. */
  public static final TargetLoad NONE = new TargetLoad(0, 0, 0, 0, NEVER);

  /** Adds what other hosts have; the later failure counts. */
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
