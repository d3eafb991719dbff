package org.gatereel.core.forward;

/** The way back to the caller of one request. Each request ends with exactly one final call. */
public interface CallerPort {
  /** Sends the head of a target's answer. */
  void begin(ResponseHead head);

  /** Sends bytes of the body. */
  void write(byte[] bytes);

  /** Ends the answer as complete. Final. */
  void finish();

  /** Breaks the answer off, so that it cannot be taken for a complete one. Final. */
  void abort();

  /**
   * Sends an answer of this host's own; {@code retryAfterMillis} only counts where invited. Final.
   */
  void reject(Rejection refusal, long retryAfterMillis);
}
