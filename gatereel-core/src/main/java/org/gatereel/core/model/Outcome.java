package org.gatereel.core.model;

/** Whether a failed request was executed. */
public enum Outcome {
  /** No byte was sent to any target, or the target reported that it did not execute the request. */
  NOT_RUN,
  /** A target executed the request, at least in part. */
  RAN,
  /** A target may have executed the request. */
  UNKNOWN
}
