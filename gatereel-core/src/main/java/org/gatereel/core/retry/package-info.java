/**
 * The retries that all hosts together may make, and this host's share of them.
 *
 * <p>{@link org.gatereel.core.retry.RetryBudgets} grants retries within a {@link
 * org.gatereel.core.retry.RetryLimit} for each service.
 */
package org.gatereel.core.retry;
