package org.gatereel.core.forward;

import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.rollout.RolloutControl;
import org.gatereel.core.rollout.Signal;

/**
 * Tells roll-outs what one request's attempts have shown of their targets' versions.
 *
 * <p>A connection that breaks or does not come about is evidence against the target, which may have
 * crashed or been cut off, and not against its version.
 */
final class VersionObserver {
  /** The pace of a stream is known after so many events, some 0.8 s; not only at its end. */
  private static final int PACE_SAMPLE_EVENTS = 16;

  private final RolloutControl rollouts;
  private final ServiceName service;
  private final Route route;

  VersionObserver(RolloutControl rollouts, ServiceName service, Route route) {
    this.rollouts = rollouts;
    this.service = service;
    this.route = route;
  }

  /** An attempt begins. */
  void recordSent(Attempt attempt) {
    rollouts.sent(service, route.name(), version(attempt));
  }

  /** The first event of an attempt is here. */
  void recordFirstEvent(Attempt attempt, long now) {
    if (!attempt.isContinuation()) {
      recordResponse(attempt, Signal.FIRST_EVENT, (double) (now - attempt.startedAt()), false);
    }
    attempt.startPaceMeasurement(now);
  }

  /** An event after the first is here. */
  void recordEvent(Attempt attempt, long now) {
    if (attempt.forwardedEventCount() >= PACE_SAMPLE_EVENTS) {
      attempt
          .takePaceStart()
          .ifPresent(
              from -> {
                double millis = (double) (now - from) / (attempt.forwardedEventCount() - 1);
                recordResponse(attempt, Signal.EVENT_GAP, millis, false);
              });
    }
  }

  /** A whole answer is here, which may be an error. */
  void recordCompleteResponse(Attempt attempt, TargetResponse answer) {
    if (!isStream()) {
      recordResponse(
          attempt,
          Signal.WHOLE,
          (double) (attempt.endedAt() - attempt.startedAt()),
          answer.isError());
    } else if (answer.isError()) {
      recordFailure(attempt);
    }
  }

  /** An attempt failed. */
  void recordFailure(Attempt attempt, TargetFailure failure, long now) {
    if (failure == TargetFailure.ERROR) {
      recordFailure(attempt);
    } else if (failure == TargetFailure.TIMEOUT) {
      recordAbandoned(attempt, now);
    }
  }

  /** An attempt was given up before its answer was whole. */
  void recordAbandoned(Attempt attempt, long now) {
    if (attempt.mayHaveExecuted() && !attempt.hasForwardedEvents() && !attempt.isContinuation()) {
      Signal signal = isStream() ? Signal.FIRST_EVENT : Signal.WHOLE;
      rollouts.givenUp(
          service, route.name(), version(attempt), signal, (double) (now - attempt.startedAt()));
    }
  }

  private void recordFailure(Attempt attempt) {
    Signal plainOrFirst = isStream() ? Signal.FIRST_EVENT : Signal.WHOLE;
    recordResponse(
        attempt, attempt.hasForwardedEvents() ? Signal.EVENT_GAP : plainOrFirst, 0, true);
  }

  private void recordResponse(Attempt attempt, Signal signal, double millis, boolean failed) {
    rollouts.answered(service, route.name(), version(attempt), signal, millis, failed);
  }

  private boolean isStream() {
    return route.kind() == RouteKind.STREAM;
  }

  private static String version(Attempt attempt) {
    return attempt.target().description().version();
  }
}
