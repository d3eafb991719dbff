package org.gatereel.core.configuration;

/**
 * The limits of inbound requests.
 *
 * @param maxHeadBytes the maximum size of a request head
 * @param maxBodyBytes the maximum size of a request body
 * @param headTimeoutMillis the maximum time from the first byte of a head to its last
 * @param idleTimeoutMillis how long a connection may stay idle between requests
 */
public record InboundLimits(
    int maxHeadBytes, int maxBodyBytes, long headTimeoutMillis, long idleTimeoutMillis) {
  /** Used until a configuration is known. */
  public static final InboundLimits STANDARD = new InboundLimits(16_384, 4 << 20, 3_000, 15_000);
}
