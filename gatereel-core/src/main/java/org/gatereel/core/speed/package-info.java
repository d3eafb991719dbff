/**
 * The speed of each target, learnt from its responses.
 *
 * <p>{@link org.gatereel.core.speed.TargetSpeeds} compares the times that all hosts have learnt of
 * a target with the median of its service. The times themselves are shared, not the comparison,
 * since each host has seen other targets.
 */
package org.gatereel.core.speed;
