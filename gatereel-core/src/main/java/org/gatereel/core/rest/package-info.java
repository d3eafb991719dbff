/**
 * How a host keeps away from targets that asked it for rest, and how it comes back to them.
 *
 * <p>The load that it answers: a target that is in need refuses requests and names the time after
 * which it takes some again. Requests in that time make its need longer; requests of all that
 * waited, at its end, bring it back. So nothing is sent until then, and after it a few at first.
 */
package org.gatereel.core.rest;
