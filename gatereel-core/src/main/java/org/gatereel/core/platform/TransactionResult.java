package org.gatereel.core.platform;

import java.util.Map;

/** What came of a transaction; all its writes took effect, or none did. */
public sealed interface TransactionResult {
  /** All writes took effect. */
  record Committed() implements TransactionResult {}

  /**
   * No write took effect.
   *
   * @param present the rows whose condition failed, with their values; a row that is missing has no
   *     entry
   */
  record Conflict(java.util.Set<String> keys, Map<String, String> present)
      implements TransactionResult {}

  /** The platform did not take the transaction: refused, throttled, or never reached. */
  record NotApplied() implements TransactionResult {}

  /** The answer was lost: the writes may have taken effect, or may yet. */
  record Unknown() implements TransactionResult {}
}
