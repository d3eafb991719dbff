package org.gatereel.core.load;

import java.util.function.Consumer;
import org.gatereel.core.model.Address;

/** Sends load reports to other hosts. */
public interface LoadPort {
  /**
   * Sends a report. {@code receipt} is called exactly once, after this method has returned, on the
   * control thread.
   *
   * <p>Until then no other report is sent to the same address.
   */
  void send(Address receiver, LoadReport report, Consumer<Receipt> receipt);

  /**
   * Returns whether a receiver reads reports with changes of demand and evidence; hosts of an
   * earlier version read complete ones only.
   */
  default boolean readsChanges(Address receiver) {
    return true;
  }

  /** The result of sending a report. */
  enum Receipt {
    /** The receiver has applied the report. */
    TAKEN,
    /** The receiver lacks the report that this one is based on; the next one must be complete. */
    WHOLE_NEEDED,
    /** No valid response was received before the timeout. */
    LOST
  }
}
