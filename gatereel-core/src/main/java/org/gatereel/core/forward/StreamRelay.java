package org.gatereel.core.forward;

import java.util.OptionalLong;
import org.gatereel.core.configuration.Route;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.stream.StreamEvent;

/**
 * Forwards the events of a stream to the caller, each once and in order, across attempts.
 *
 * <p>Event ids increase by one, starting at any id. Events that the caller already has are dropped.
 * An event that is out of sequence, or that would leave a gap for the caller, fails the attempt.
 * After an event without an id the stream cannot be resumed.
 */
final class StreamRelay {
  /** Limits an incomplete event, and the comments between two events. */
  private static final int MAX_EVENT_BYTES = 256 << 10;

  /** Longer than a sound target may fall silent within an event. */
  private static final long MAX_EVENT_MILLIS = 3_000;

  private final Exchange exchange;
  private final CoreContext context;
  private final ForwardRequest request;
  private final CallerResponse callerResponse;
  private final Route route;
  private OptionalLong lastEventId;
  private boolean hasForwarded;
  private boolean hasEventWithoutId;
  private long forwardedAt;

  StreamRelay(
      Exchange exchange,
      CoreContext context,
      ForwardRequest request,
      CallerResponse callerResponse,
      Route route) {
    this.exchange = exchange;
    this.context = context;
    this.request = request;
    this.callerResponse = callerResponse;
    this.route = route;
    this.lastEventId = request.lastEventId();
  }

  OptionalLong lastEventId() {
    return lastEventId;
  }

  /** Returns whether another target could resume the stream without a lost or repeated event. */
  boolean canResumeElsewhere() {
    boolean hasNoEventsYet = callerResponse.hasBegun() && !hasForwarded;
    return !hasEventWithoutId && (lastEventId.isPresent() || hasNoEventsYet);
  }

  /** Returns whether the caller has exactly the events up to the last one of an attempt. */
  boolean isAtEndOf(Attempt attempt) {
    return !hasEventWithoutId && lastEventId.equals(attempt.lastReceivedEventId());
  }

  /** Returns whether an attempt's events end before the last event that the caller has. */
  boolean isCallerAheadOf(Attempt attempt) {
    OptionalLong lastReceived = attempt.lastReceivedEventId();
    return lastReceived.isPresent()
        && lastEventId.isPresent()
        && lastReceived.getAsLong() < lastEventId.getAsLong();
  }

  /**
   * Forwards the events that the bytes complete; returns false if the attempt must fail. Stops if a
   * write shows that the caller is gone. All are sent together, as there may be many small ones.
   */
  boolean forward(Attempt from, byte[] bytes) {
    for (StreamEvent event : from.events().read(bytes)) {
      if (from.isClosed()) {
        return true;
      }
      if (event.isComment()) {
        forwardComment(from, event);
        continue;
      }
      if (!isInOrder(from, event)) {
        logMisplaced(from, event);
        flush(from);
        return false;
      }
      from.recordEvent();
      exchange.onProgress(from);
      event.id().ifPresent(from::recordReceived);
      if (!isAlreadyForwarded(event)) {
        forward(from, event);
      }
    }
    flush(from);
    return from.bytesSinceEvent() + from.events().pendingBytes() <= MAX_EVENT_BYTES
        && from.incompleteMillis(context.now()) <= MAX_EVENT_MILLIS;
  }

  private void forwardComment(Attempt from, StreamEvent comment) {
    from.recordComment(comment.bytes().length);
    if (!comment.isBlank()) {
      write(from, comment);
    }
  }

  private boolean isAlreadyForwarded(StreamEvent event) {
    return event.id().isPresent()
        && lastEventId.isPresent()
        && event.id().getAsLong() <= lastEventId.getAsLong();
  }

  private boolean isInOrder(Attempt from, StreamEvent event) {
    if (event.id().isEmpty()) {
      return mayLackId(from);
    }
    long id = event.id().getAsLong();
    if (from.lastReceivedEventId().isPresent()) {
      return id == from.lastReceivedEventId().getAsLong() + 1;
    }
    return lastEventId.isEmpty() || id <= lastEventId.getAsLong() + 1;
  }

  /** An event without an id is only accepted where it cannot be a repeated one. */
  private boolean mayLackId(Attempt from) {
    boolean callerHasNothing = !hasForwarded && lastEventId.isEmpty();
    return callerHasNothing
        || from.hasForwardedEvents()
        || from.lastReceivedEventId().equals(lastEventId);
  }

  private void logMisplaced(Attempt from, StreamEvent event) {
    context.logEvent(
        EventCode.EVENT_MISPLACED,
        request.id(),
        "target="
            + from.target().description().id()
            + " event="
            + event.id().orElse(-1)
            + " lastOfRun="
            + from.lastReceivedEventId().orElse(-1)
            + " lastEvent="
            + lastEventId.orElse(-1));
  }

  private void forward(Attempt from, StreamEvent event) {
    boolean isFirst = !from.hasForwardedEvents();
    from.recordForwarded();
    if (isFirst) {
      exchange.onFirstEvent(from);
    }
    if (event.id().isPresent()) {
      lastEventId = event.id();
    } else {
      hasEventWithoutId = true;
    }
    if (hasForwarded) {
      logPause(from);
    }
    hasForwarded = true;
    forwardedAt = context.now();
    write(from, event);
  }

  private void write(Attempt from, StreamEvent event) {
    callerResponse.begin(from.head());
    callerResponse.write(event.bytes());
  }

  private void flush(Attempt from) {
    if (!from.isClosed()) {
      callerResponse.flush();
    }
  }

  /** Logs a pause that exceeds the route's objective, with its probable causes. */
  private void logPause(Attempt from) {
    long pauseMillis = context.now() - forwardedAt;
    if (route.gapObjectiveMillis() <= 0 || pauseMillis <= route.gapObjectiveMillis()) {
      return;
    }
    context.logEvent(
        EventCode.STREAM_PAUSED,
        request.id(),
        "pauseMillis="
            + pauseMillis
            + " moved="
            + (from.startedAt() > forwardedAt)
            + " fromCopy="
            + from.isContinuation()
            + " target="
            + from.target().description().id()
            + " lastTryMillis="
            + (context.now() - from.startedAt())
            + " event="
            + lastEventId.orElse(-1));
  }
}
