package org.gatereel.core.forward;

/**
 * How the transport detected the end of a target's response.
 *
 * <p>A length or a last chunk proves that the response is complete. A closed connection does not,
 * since the crash of the target's process looks the same.
 */
public enum ResponseEnd {
  /** The announced length was received, or the status allows no body. */
  LENGTH_REACHED(true),
  /** The last chunk was received. */
  LAST_CHUNK(true),
  /** The target closed the connection of a response without length and chunks. */
  CONNECTION_CLOSED(false);

  private final boolean confirmedByTarget;

  ResponseEnd(boolean confirmedByTarget) {
    this.confirmedByTarget = confirmedByTarget;
  }

  /** Returns whether the target itself marked the response as complete. */
  public boolean isConfirmedByTarget() {
    return confirmedByTarget;
  }
}
