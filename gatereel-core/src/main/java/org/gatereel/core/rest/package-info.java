/**
 * Backoffs that targets request from a host, and the slow start after them.
 *
 * <p>An overloaded target rejects requests and announces when it accepts some again. No request is
 * sent until then, and only a few at first, because a burst would overload the target again.
 */
package org.gatereel.core.rest;
