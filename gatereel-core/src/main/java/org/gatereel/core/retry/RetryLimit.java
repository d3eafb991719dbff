package org.gatereel.core.retry;

/**
 * The retries of a service's requests that all hosts may make together within any window.
 *
 * @param ratio retries for each request of the window
 * @param slack additional retries for each window
 * @param windowMillis the length of the window
 */
public record RetryLimit(double ratio, double slack, long windowMillis) {}
