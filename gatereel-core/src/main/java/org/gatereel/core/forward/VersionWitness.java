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
final class VersionWitness {
  /** The pace of a stream is known after so many events, some 0.8 s; not only at its end. */
  private static final int PACE_EVENTS = 16;

  private final RolloutControl rollouts;
  private final ServiceName service;
  private final Route route;

  VersionWitness(RolloutControl rollouts, ServiceName service, Route route) {
    this.rollouts = rollouts;
    this.service = service;
    this.route = route;
  }

  /** An attempt begins. */
  void sent(Attempt attempt) {
    rollouts.recordSent(service, route.name(), version(attempt));
  }

  /** The first event of an attempt is here. */
  void firstEvent(Attempt attempt, long now) {
    if (!attempt.isContinuation()) {
      answered(attempt, Signal.FIRST_EVENT, (double) (now - attempt.startedAt()), false);
    }
    attempt.notePaceFrom(now);
  }

  /** An event after the first is here. */
  void event(Attempt attempt, long now) {
    if (attempt.eventCount() >= PACE_EVENTS) {
      attempt
          .takePaceFrom()
          .ifPresent(
              from -> {
                double millis = (double) (now - from) / (attempt.eventCount() - 1);
                answered(attempt, Signal.EVENT_GAP, millis, false);
              });
    }
  }

  /** A whole answer is here, which may be an error. */
  void whole(Attempt attempt, Answer answer) {
    if (!isStream()) {
      answered(
          attempt,
          Signal.WHOLE,
          (double) (attempt.endedAt() - attempt.startedAt()),
          answer.isError());
    } else if (answer.isError()) {
      failed(attempt);
    }
  }

  /** An attempt failed. */
  void failed(Attempt attempt, TargetFailure failure, long now) {
    if (failure == TargetFailure.ERROR) {
      failed(attempt);
    } else if (failure == TargetFailure.TIMEOUT) {
      givenUp(attempt, now);
    }
  }

  /** An attempt was given up before its answer was whole. */
  void givenUp(Attempt attempt, long now) {
    if (attempt.mayHaveRun() && !attempt.hasEvents() && !attempt.isContinuation()) {
      Signal signal = isStream() ? Signal.FIRST_EVENT : Signal.WHOLE;
      rollouts.recordAbandoned(
          service, route.name(), version(attempt), signal, (double) (now - attempt.startedAt()));
    }
  }

  private void failed(Attempt attempt) {
    Signal plainOrFirst = isStream() ? Signal.FIRST_EVENT : Signal.WHOLE;
    answered(attempt, attempt.hasEvents() ? Signal.EVENT_GAP : plainOrFirst, 0, true);
  }

  private void answered(Attempt attempt, Signal signal, double millis, boolean failed) {
    rollouts.recordResponse(service, route.name(), version(attempt), signal, millis, failed);
  }

  private boolean isStream() {
    return route.kind() == RouteKind.STREAM;
  }

  private static String version(Attempt attempt) {
    return attempt.target().description().version();
  }
}
