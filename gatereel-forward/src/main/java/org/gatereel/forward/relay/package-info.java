/**
 * Relays connections to targets between hosts.
 *
 * <p>A host opens a connection to another host's peer address and sends an HTTP {@code CONNECT}
 * request that names the target. After a response with status 200, all bytes are passed on in both
 * directions. The other host always connects to the target directly, so that a connection is
 * relayed at most once.
 *
 * <p>The relayed connection ends in order only if the target ended its own in order; it is reset in
 * all other cases, including the end of the relaying process.
 */
package org.gatereel.forward.relay;
