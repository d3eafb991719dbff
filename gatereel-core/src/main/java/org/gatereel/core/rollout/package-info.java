/**
 * Progressive delivery: moves the requests of a service to another version of its targets in
 * stages, or back.
 *
 * <p>There is no leader. The state of a rollout is one row in the platform's store, written
 * conditionally. All other decisions each host makes from the times in this row, the evidence of
 * all hosts and the age of both.
 */
package org.gatereel.core.rollout;
