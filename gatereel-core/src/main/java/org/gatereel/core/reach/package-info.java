/**
 * Knows which targets this host can connect to, and which other hosts can relay a connection to the
 * others.
 *
 * <p>Reach is a relation of a host and a target. A target that this host cannot connect to, but
 * another host can, is not considered failed: its connections are relayed by that host.
 */
package org.gatereel.core.reach;
