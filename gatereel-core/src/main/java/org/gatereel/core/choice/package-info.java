/**
 * The choice of a target for a request, as a sum of small considerations.
 *
 * <p>{@link org.gatereel.core.choice.CostTerm} names each reason with its cost; {@link
 * org.gatereel.core.choice.TargetSelector} takes the target with the least sum.
 */
package org.gatereel.core.choice;
