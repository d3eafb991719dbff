package org.gatereel.core.rollout;

/**
 * A conditional write of a row.
 *
 * @param record the row; the store must still hold its {@code revision}, or no row if that is 0
 */
public record RolloutWrite(RolloutRecord record) {}
