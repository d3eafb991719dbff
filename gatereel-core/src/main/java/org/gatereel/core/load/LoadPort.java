package org.gatereel.core.load;

import java.util.function.Consumer;
import org.gatereel.core.model.Address;

/** Carries reports to other hosts. */
public interface LoadPort {
  /**
   * Sends a report; {@code receipt} is told exactly once, later, on the control thread.
   *
   * <p>One report to an address is under way at a time.
   */
  void send(Address receiver, LoadReport report, Consumer<Receipt> receipt);

  /** What became of a report. */
  enum Receipt {
    /** The receiver has taken it in. */
    TAKEN,
    /** The receiver lacks what this report builds on; the next one must be whole. */
    WHOLE_NEEDED,
    /** No answer came in time, or none that says so. */
    LOST
  }
}
