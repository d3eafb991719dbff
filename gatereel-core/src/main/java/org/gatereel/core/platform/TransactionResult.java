package org.gatereel.core.platform;

import java.util.Map;

/** The result of a transaction; either all its writes take effect or none. */
public sealed interface TransactionResult {
  /** All writes took effect. */
  record Committed() implements TransactionResult {}

  /**
   * No write took effect.
   *
   * @param keys the rows whose condition failed
   * @param present the values of these rows; a row that does not exist has no entry
   */
  record Conflict(java.util.Set<String> keys, Map<String, String> present)
      implements TransactionResult {}

  /** The platform did not apply the transaction: it was rejected, throttled, or never received. */
  record NotApplied() implements TransactionResult {}

  /** The response was lost: the writes may have taken effect, or may still take effect. */
  record Unknown() implements TransactionResult {}
}
