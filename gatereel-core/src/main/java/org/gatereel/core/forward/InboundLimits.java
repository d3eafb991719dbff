package org.gatereel.core.forward;

/**
 * What callers may send, and how long they may take.
 *
 * @param maxHeadBytes the longest head of a request
 * @param maxBodyBytes the longest body of a request
 * @param headTimeoutMillis the longest time from the first byte of a head to its last
 * @param idleTimeoutMillis how long a connection may rest between requests
 */
public record InboundLimits(
    int maxHeadBytes, int maxBodyBytes, long headTimeoutMillis, long idleTimeoutMillis) {
  /** In force as long as no configuration is known. */
  public static final InboundLimits STANDARD = new InboundLimits(16_384, 4 << 20, 3_000, 15_000);
}
