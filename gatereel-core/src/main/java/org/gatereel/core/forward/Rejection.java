package org.gatereel.core.forward;

/** The error responses that a host itself sends to callers. */
public enum Rejection {
  /** The request violates the protocol. */
  MALFORMED(400),
  /** The key is missing, or belongs to no client account. */
  UNKNOWN_KEY(401),
  /** No route matches the host name and path. */
  NO_ROUTE(404),
  /** The request did not arrive completely in time; it was not executed. */
  SLOW_CALLER(408),
  BODY_TOO_LARGE(413),
  HEAD_TOO_LARGE(431),
  /** A target failed while it had the request, which may have been executed. */
  TARGET_FAILED(502),
  /** This host failed while it handled the request, which may have been executed. */
  HOST_FAILED(502),
  /** This host failed before it sent the request, which was not executed. */
  HOST_FAILED_BEFORE_SENDING(503),
  /** No configuration is known yet; the request was not executed. */
  NO_CONFIGURATION(503),
  /** The configuration known to this host may be outdated; the request was not executed. */
  STALE_CONFIGURATION(503),
  /** The list of targets known to this host may be outdated; the request was not executed. */
  STALE_TARGETS(503),
  /** No target of the service is reachable; the request was not executed. */
  NO_TARGET(503),
  /** All targets are full, or the retry budget is exhausted; the request was not executed. */
  OVERLOADED(503),
  /** This host is shutting down; the request was not executed. */
  STOPPING(503),
  /**
   * The request is quarantined, because targets crashed under it before; it was not executed this
   * time.
   */
  HELD_BACK(503) {
    @Override
    public long retryAfterMillis(long usualMillis) {
      return Math.max(usualMillis, QUARANTINE_RETRY_AFTER_MILLIS);
    }
  },
  /** The deadline passed before a target executed the request. */
  NOT_STARTED_IN_TIME(503),
  /** The deadline passed, and the request may have been executed. */
  TIMED_OUT(504);

  /** Long enough for an operator to examine the quarantined request before a retry. */
  private static final long QUARANTINE_RETRY_AFTER_MILLIS = 60_000;

  private final int status;

  Rejection(int status) {
    this.status = status;
  }

  public int status() {
    return status;
  }

  /**
   * Returns the {@code Retry-After} delay in milliseconds.
   *
   * @param usualMillis the delay for rejections without a delay of their own
   */
  public long retryAfterMillis(long usualMillis) {
    return usualMillis;
  }

  /**
   * Returns whether the response has a {@code Retry-After} header, which also guarantees that the
   * request was not executed.
   */
  public boolean allowsRetry() {
    return status == 503;
  }
}
