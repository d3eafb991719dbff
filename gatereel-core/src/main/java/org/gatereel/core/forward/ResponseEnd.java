package org.gatereel.core.forward;

/**
 * How the transport knew that a target's answer was at its end.
 *
 * <p>A length or a last chunk is the target's own word that nothing is missing. The end of a
 * connection says so only where the target is known to have meant it: the connection of a process
 * that ends looks the same.
 */
public enum ResponseEnd {
  /** As many bytes came as the head announced, or the status has no body. */
  LENGTH_REACHED(true),
  /** The last chunk came. */
  LAST_CHUNK(true),
  /** The target closed the connection of an answer that has neither length nor chunks. */
  CONNECTION_CLOSED(false);

  private final boolean confirmedByTarget;

  ResponseEnd(boolean targetsWord) {
    this.confirmedByTarget = targetsWord;
  }

  /** Returns whether the target itself has said that nothing is missing. */
  public boolean isConfirmedByTarget() {
    return confirmedByTarget;
  }
}
