/**
 * What hosts tell each other about targets: how much each of them has open there, and which failed.
 *
 * <p>In each data centre one host gathers what the others say and passes sums on, so that the
 * number of messages a host handles does not grow with the square of the number of hosts. Decisions
 * only; {@link org.gatereel.core.load.LoadPort} carries the messages.
 */
package org.gatereel.core.load;
