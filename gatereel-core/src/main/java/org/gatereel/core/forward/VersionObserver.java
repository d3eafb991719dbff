package org.gatereel.core.forward;

import org.gatereel.core.configuration.Route;
import org.gatereel.core.configuration.RouteKind;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.rollout.RolloutControl;
import org.gatereel.core.rollout.Signal;

/**
 * Reports the results of one request's attempts to {@link RolloutControl}, by target version.
 *
 * <p>A connection that breaks or cannot be made counts against the target, not against its version.
 */
final class VersionObserver {
  /** The pace of a stream is reported after this many events, some 0.8 s, not only at its end. */
  private static final int PACE_SAMPLE_EVENTS = 16;

  private final RolloutControl rollouts;
  private final ServiceName service;
  private final Route route;

  VersionObserver(RolloutControl rollouts, ServiceName service, Route route) {
    this.rollouts = rollouts;
    this.service = service;
    this.route = route;
  }

  void recordSent(Attempt attempt) {
    rollouts.recordSent(service, route.name(), version(attempt));
  }

  void recordFirstEvent(Attempt attempt, long now) {
    if (!attempt.isContinuation()) {
      recordResponse(attempt, Signal.FIRST_EVENT, (double) (now - attempt.startedAt()), false);
    }
    attempt.startPaceMeasurement(now);
  }

  /** Records an event and reports the pace once it is known. */
  void recordEvent(Attempt attempt, long now) {
    if (attempt.forwardedEventCount() >= PACE_SAMPLE_EVENTS) {
      attempt
          .takePaceStart()
          .ifPresent(
              paceStart -> {
                double millis = (double) (now - paceStart) / (attempt.forwardedEventCount() - 1);
                recordResponse(attempt, Signal.EVENT_GAP, millis, false);
              });
    }
  }

  /** Records a complete response, which may be an error. */
  void recordCompleteResponse(Attempt attempt, TargetResponse response) {
    if (!isStream()) {
      recordResponse(
          attempt,
          Signal.WHOLE,
          (double) (attempt.endedAt() - attempt.startedAt()),
          response.isError());
    } else if (response.isError()) {
      recordFailure(attempt);
    }
  }

  void recordFailure(Attempt attempt, TargetFailure failure, long now) {
    if (failure.isBadResponse()) {
      recordFailure(attempt);
    } else if (failure == TargetFailure.TIMEOUT) {
      recordAbandoned(attempt, now);
    }
  }

  /** Records an attempt that was abandoned before its response was complete. */
  void recordAbandoned(Attempt attempt, long now) {
    if (attempt.mayHaveExecuted() && !attempt.hasForwardedEvents() && !attempt.isContinuation()) {
      Signal signal = isStream() ? Signal.FIRST_EVENT : Signal.WHOLE;
      rollouts.recordAbandoned(
          service, route.name(), version(attempt), signal, (double) (now - attempt.startedAt()));
    }
  }

  private void recordFailure(Attempt attempt) {
    Signal signalBeforeEvents = isStream() ? Signal.FIRST_EVENT : Signal.WHOLE;
    recordResponse(
        attempt, attempt.hasForwardedEvents() ? Signal.EVENT_GAP : signalBeforeEvents, 0, true);
  }

  private void recordResponse(Attempt attempt, Signal signal, double millis, boolean failed) {
    rollouts.recordResponse(service, route.name(), version(attempt), signal, millis, failed);
  }

  private boolean isStream() {
    return route.kind() == RouteKind.STREAM;
  }

  private static String version(Attempt attempt) {
    return attempt.target().description().version();
  }
}
