package org.gatereel.core.scheduling;

/**
 * How urgent a request is among the requests of its service.
 *
 * @param rank the rank of its priority; 0 is the most urgent
 * @param ranks how many different priorities the service's requests have
 */
public record Urgency(int rank, int ranks) {
  /** The urgency of a request whose service has requests of one priority only. */
  public static final Urgency UNRANKED = new Urgency(0, 1);

  /**
   * Engines admit urgency 0 first; it is reserved for streams that their callers have a part of.
   */
  private static final int FIRST_ENGINE_URGENCY = 1;

  private static final int LAST_ENGINE_URGENCY = 9;

  /** Returns whether the service has requests of different urgency. */
  public boolean isRanked() {
    return ranks > 1;
  }

  /** Returns the urgency that an engine is told, from 1 to 9; 1 is the most urgent. */
  public int engineUrgency() {
    int steps = LAST_ENGINE_URGENCY - FIRST_ENGINE_URGENCY;
    return FIRST_ENGINE_URGENCY + (isRanked() ? rank * steps / (ranks - 1) : 0);
  }
}
