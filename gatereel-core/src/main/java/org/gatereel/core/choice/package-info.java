/**
 * Selection of the target for a request.
 *
 * <p>Each {@link org.gatereel.core.choice.CostTerm} adds to the cost of a target; {@link
 * org.gatereel.core.choice.TargetSelector} selects the target with the lowest total.
 */
package org.gatereel.core.choice;
