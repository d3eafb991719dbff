package org.gatereel.core.rollout;

/** What is counted of requests and responses to compare two versions. */
public enum Signal {
  /** Requests sent; not a property of responses. */
  SENT,
  /** The time until the whole response of a plain service, and whether it is an error. */
  WHOLE,
  /** The time until a stream's first event, and whether an error was received instead. */
  FIRST_EVENT,
  /** The mean time between a stream's events, and whether the stream ended with an error. */
  EVENT_GAP;

  /** Returns whether a value is a single time, which includes delays at the host in full. */
  boolean isSingleTime() {
    return this == WHOLE || this == FIRST_EVENT;
  }
}
