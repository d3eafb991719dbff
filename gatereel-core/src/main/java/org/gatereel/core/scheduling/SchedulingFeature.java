package org.gatereel.core.scheduling;

/** A scheduling feature, which is off unless the settings of a host name it. */
public enum SchedulingFeature {
  /**
   * Requests wait and are admitted in the order of their route's priority, then of the time left to
   * its objective. Has no effect on services whose routes all have the same priority.
   */
  URGENCY_ORDER,

  /** Requests wait at hosts while no target has slots and memory for them. */
  TARGET_ROOM,

  /** Targets are chosen by the expected time of the first event, learnt from their responses. */
  TARGET_SPEED,

  /** Streams whose target failed may use the retries of all hosts to go on at another target. */
  STREAM_RETRIES
}
