/**
 * Exchange of load reports between hosts: open requests and failures per target, demand per
 * service, rollout evidence and other shared facts.
 *
 * <p>In each data centre one host, the gatherer, collects the reports of the others and distributes
 * sums, so that the number of messages does not grow with the square of the number of hosts. {@link
 * org.gatereel.core.load.LoadPort} sends the messages.
 */
package org.gatereel.core.load;
