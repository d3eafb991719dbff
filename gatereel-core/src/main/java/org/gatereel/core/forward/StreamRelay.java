package org.gatereel.core.forward;

import java.util.OptionalLong;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;

/**
 * Passes the events of a stream on, each once and in order, whichever attempt they come from.
 *
 * <p>Ids rise by one, from wherever the first run begins. The first events of a run may repeat what
 * the caller has, and are passed over; an event that is not the next one of its run, or before
 * which the caller misses one, ends the attempt. After an event without an id no other run can tell
 * where to go on.
 */
final class StreamRelay {
  private static final int LONGEST_EVENT_BYTES = 1 << 20;

  private final Exchange exchange;
  private final CoreContext context;
  private final ForwardRequest request;
  private final Reply reply;
  private final Route route;
  private OptionalLong lastEventId;
  private boolean hasPassed;
  private boolean hasUnnumbered;
  private long passedAt;

  StreamRelay(
      Exchange exchange, CoreContext context, ForwardRequest request, Reply reply, Route route) {
    this.exchange = exchange;
    this.context = context;
    this.request = request;
    this.reply = reply;
    this.route = route;
    this.lastEventId = request.lastEventId();
  }

  /** Returns the last event that the caller has. */
  OptionalLong lastEventId() {
    return lastEventId;
  }

  /** Returns whether another target could go on, so that the caller has each event once. */
  boolean canGoOnElsewhere() {
    boolean startsAnew = reply.hasBegun() && !hasPassed;
    return !hasUnnumbered && (lastEventId.isPresent() || startsAnew);
  }

  /** Returns whether a run has not come up to the last event that the caller has. */
  boolean isCallerAheadOf(Attempt run) {
    OptionalLong last = run.lastOfRun();
    return last.isPresent()
        && lastEventId.isPresent()
        && last.getAsLong() < lastEventId.getAsLong();
  }

  /**
   * Passes on what bytes of an attempt complete; returns false if the attempt is of no more use.
   * The caller may be found gone within a write; nothing more is written then.
   */
  boolean pass(Attempt from, byte[] bytes) {
    for (StreamEvent event : from.events().read(bytes)) {
      if (from.isClosed()) {
        return true;
      }
      if (event.isComment()) {
        write(from, event);
        continue;
      }
      if (!isInOrder(from, event)) {
        noteMisplaced(from, event);
        return false;
      }
      event.id().ifPresent(from::noteCame);
      if (!isKnown(event)) {
        pass(from, event);
      }
    }
    return from.events().pendingBytes() <= LONGEST_EVENT_BYTES;
  }

  private boolean isKnown(StreamEvent event) {
    return event.id().isPresent()
        && lastEventId.isPresent()
        && event.id().getAsLong() <= lastEventId.getAsLong();
  }

  private boolean isInOrder(Attempt from, StreamEvent event) {
    if (event.id().isEmpty()) {
      return hasPlaceWithoutId(from);
    }
    long id = event.id().getAsLong();
    if (from.lastOfRun().isPresent()) {
      return id == from.lastOfRun().getAsLong() + 1;
    }
    return lastEventId.isEmpty() || id <= lastEventId.getAsLong() + 1;
  }

  /** An event without an id stands where its run does; only there can it be no repeat. */
  private boolean hasPlaceWithoutId(Attempt from) {
    boolean callerHasNothing = !hasPassed && lastEventId.isEmpty();
    return callerHasNothing || from.hasEvents() || from.lastOfRun().equals(lastEventId);
  }

  private void noteMisplaced(Attempt from, StreamEvent event) {
    context.logEvent(
        EventCode.EVENT_MISPLACED,
        request.id(),
        "target="
            + from.target().description().id()
            + " event="
            + event.id().orElse(-1)
            + " lastOfRun="
            + from.lastOfRun().orElse(-1)
            + " lastEvent="
            + lastEventId.orElse(-1));
  }

  private void pass(Attempt from, StreamEvent event) {
    boolean first = !from.hasEvents();
    from.notePassed();
    if (first) {
      exchange.firstEvent(from);
    }
    if (event.id().isPresent()) {
      lastEventId = event.id();
    } else {
      hasUnnumbered = true;
    }
    if (hasPassed) {
      notePause(from);
    }
    hasPassed = true;
    passedAt = context.now();
    write(from, event);
  }

  private void write(Attempt from, StreamEvent event) {
    reply.begin(from.head());
    reply.write(event.bytes());
  }

  /** Logs a pause that makes the stream late, with what probably caused it. */
  private void notePause(Attempt from) {
    long pause = context.now() - passedAt;
    if (route.gapMillis() <= 0 || pause <= route.gapMillis()) {
      return;
    }
    context.logEvent(
        EventCode.STREAM_PAUSED,
        request.id(),
        "pauseMillis="
            + pause
            + " moved="
            + (from.startedAt() > passedAt)
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
