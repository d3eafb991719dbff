package org.gatereel.core.model;

/** What a refusal or failure says about whether the request ran. */
public enum Outcome {
  /** No byte of the request was given to any target, or the target itself proved it. */
  NOT_RUN,
  /** A target worked on the request. */
  RAN,
  /** A target may have worked on the request. */
  UNKNOWN
}
