/**
 * Overload control: which requests to an overloaded service are sent, wait or are rejected.
 *
 * <p>The demand of other hosts is received through {@link org.gatereel.core.load.LoadExchange}.
 * Requests to a service with spare capacity are always sent.
 */
package org.gatereel.core.overload;
