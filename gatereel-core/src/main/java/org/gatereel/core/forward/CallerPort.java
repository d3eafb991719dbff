package org.gatereel.core.forward;

/**
 * Sends the response of one request to its caller. Each request ends with exactly one final call.
 */
public interface CallerPort {
  /** Starts the response by sending its head. */
  void begin(ResponseHead head);

  /** Adds part of the body, which may wait for {@link #flush} or the final call to be sent. */
  void write(byte[] bytes);

  /** Sends what was written. */
  default void flush() {}

  /**
   * Returns whether any byte of a response that has begun may have been sent. Until then the
   * response can still be replaced by a rejection.
   */
  default boolean hasSent() {
    return true;
  }

  /** Ends the response as complete. Final. */
  void finish();

  /** Aborts the response, so that the caller does not take it for complete. Final. */
  void abort();

  /**
   * Sends an error response of this host. Final.
   *
   * @param retryAfterMillis the {@code Retry-After} delay; ignored unless {@link
   *     Rejection#allowsRetry}
   */
  void reject(Rejection rejection, long retryAfterMillis);
}
