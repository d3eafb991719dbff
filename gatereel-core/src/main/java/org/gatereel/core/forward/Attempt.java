package org.gatereel.core.forward;

import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.OptionalLong;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.speed.AttemptTimer;
import org.gatereel.core.stream.EventStreamReader;
import org.gatereel.core.target.TargetState;

/** One attempt of an exchange: one request sent to one target, and its progress. */
final class Attempt implements TargetPort.Listener {
  private static final int OK_STATUS = 200;

  private final Exchange exchange;
  private final long startedAt;
  private final TargetState target;
  private final boolean continuation;
  private final EventStreamReader events = new EventStreamReader();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private Optional<AttemptTimer> timer = Optional.empty();
  private TargetPort.Call call;
  private ResponseHead head;
  private OptionalLong headAt = OptionalLong.empty();
  private ResponseEnd end;
  private long endedAt;
  private boolean probed;
  private OptionalLong sentAt = OptionalLong.empty();
  private boolean closed;
  private long forwardedEventCount;
  private long bytesSinceEvent;
  private OptionalLong lastReceivedEventId = OptionalLong.empty();
  private boolean prefilling;
  private long lastDataAt;
  private long lastProgressAt;
  private OptionalLong incompleteSince = OptionalLong.empty();
  private OptionalLong paceStartedAt = OptionalLong.empty();

  Attempt(Exchange exchange, TargetState target, boolean continuation, long now) {
    this.exchange = exchange;
    this.startedAt = now;
    this.target = target;
    this.continuation = continuation;
    this.lastDataAt = now;
    this.lastProgressAt = now;
  }

  void setTimer(Optional<AttemptTimer> newTimer) {
    timer = newTimer;
  }

  /** Takes the times of the events received so far, if the speed of targets is learnt. */
  void timeEvents(long now) {
    if (timer.isPresent() && forwardedEventCount > 0) {
      timer.get().recordEvents(forwardedEventCount, now);
    }
  }

  /** Takes the time of a complete call, if the speed of targets is learnt. */
  void timeCall() {
    timer.ifPresent(taken -> taken.recordCall(endedAt));
  }

  void setCall(TargetPort.Call newCall) {
    call = newCall;
  }

  long startedAt() {
    return startedAt;
  }

  TargetState target() {
    return target;
  }

  /** Returns whether this attempt continues from a copy of an earlier execution's memory. */
  boolean isContinuation() {
    return continuation;
  }

  /** Returns whether the target may have started to execute the request. */
  boolean mayHaveExecuted() {
    return sentAt.isPresent();
  }

  /** Returns whether the request was sent over a connection established before a time. */
  boolean wasSentBefore(long time) {
    return sentAt.isPresent() && sentAt.getAsLong() < time;
  }

  boolean isClosed() {
    return closed;
  }

  ResponseHead head() {
    return head;
  }

  void recordHead(long now) {
    headAt = OptionalLong.of(now);
  }

  /** Returns when the response head arrived, which shows that execution had started. */
  OptionalLong headAt() {
    return headAt;
  }

  void recordEnd(ResponseEnd responseEnd, long now) {
    end = responseEnd;
    endedAt = now;
  }

  /** Records that the target was probed after the response's connection closed. */
  void recordProbed() {
    probed = true;
  }

  boolean wasProbed() {
    return probed;
  }

  ResponseEnd end() {
    return end;
  }

  long endedAt() {
    return endedAt;
  }

  EventStreamReader events() {
    return events;
  }

  ByteArrayOutputStream body() {
    return body;
  }

  /** Returns the head and the buffered part of the body, and clears the buffer. */
  TargetResponse takeResponse() {
    byte[] taken = body.toByteArray();
    body.reset();
    return new TargetResponse(head, taken);
  }

  /** Returns whether the response is a successful event stream. */
  boolean isEventStream() {
    return head.isEventStream() && head.status() == OK_STATUS;
  }

  /** Returns whether the response's status is that of an error. */
  boolean isError() {
    return new TargetResponse(head, new byte[0]).isError();
  }

  /** Returns whether events of this attempt were forwarded to the caller. */
  boolean hasForwardedEvents() {
    return forwardedEventCount > 0;
  }

  /** Returns whether any event was received, including those that the caller already had. */
  boolean hasReceivedEvents() {
    return lastReceivedEventId.isPresent() || hasForwardedEvents();
  }

  long forwardedEventCount() {
    return forwardedEventCount;
  }

  /** Returns the id of the last event received, even if the caller already had it. */
  OptionalLong lastReceivedEventId() {
    return lastReceivedEventId;
  }

  /** Records an event that has an id. */
  void recordReceived(long id) {
    lastReceivedEventId = OptionalLong.of(id);
  }

  /** Records an event, also one that the caller already has. */
  void recordEvent() {
    bytesSinceEvent = 0;
    incompleteSince = OptionalLong.empty();
  }

  /** Records a block that is no event, such as a comment. */
  void recordComment(int bytes) {
    bytesSinceEvent += bytes;
    incompleteSince = OptionalLong.empty();
  }

  /** Returns for how long the target has been sending the event that is incomplete, if any is. */
  long incompleteMillis(long now) {
    if (!events.isWithinEvent()) {
      incompleteSince = OptionalLong.empty();
    } else if (incompleteSince.isEmpty()) {
      incompleteSince = OptionalLong.of(now);
    }
    return incompleteSince.isPresent() ? now - incompleteSince.getAsLong() : 0;
  }

  /** Returns the bytes of comments since the last event. */
  long bytesSinceEvent() {
    return bytesSinceEvent;
  }

  void recordForwarded() {
    forwardedEventCount++;
    endPrefill();
  }

  /**
   * Records that the target must process the prompt first, unless this attempt continues from a
   * copy.
   */
  void beginPrefill() {
    if (!continuation) {
      prefilling = true;
      target.adjustPrefills(1);
    }
  }

  private void endPrefill() {
    if (prefilling) {
      prefilling = false;
      target.adjustPrefills(-1);
    }
  }

  /** Records the arrival of the first event, from which the event pace is measured. */
  void startPaceMeasurement(long now) {
    paceStartedAt = OptionalLong.of(now);
  }

  /** Returns when the first event arrived and clears it, so that the pace is reported once. */
  OptionalLong takePaceStart() {
    OptionalLong taken = paceStartedAt;
    paceStartedAt = OptionalLong.empty();
    return taken;
  }

  /**
   * Returns when the target last sent a head, an event or part of a plain body, or when the attempt
   * started.
   */
  long lastProgressAt() {
    return lastProgressAt;
  }

  void recordProgress(long now) {
    lastProgressAt = now;
  }

  /** Returns when the target last sent data of this attempt, or when the attempt started. */
  long lastDataAt() {
    return lastDataAt;
  }

  void recordDataReceived(long now) {
    lastDataAt = now;
    target.recordDataReceived(now);
  }

  /** Marks the attempt as closed; returns whether it was open before. */
  boolean close() {
    boolean wasOpen = !closed;
    closed = true;
    endPrefill();
    return wasOpen;
  }

  /** Closes the connection to the target, if one exists. */
  void cancel() {
    if (call != null) {
      call.cancel();
    }
  }

  /** Callbacks after the end of the response or after the attempt was closed are ignored. */
  private boolean acceptsCallbacks() {
    return !closed && end == null;
  }

  @Override
  public boolean maySend() {
    return acceptsCallbacks() && exchange.steps().test(() -> exchange.mayStillReceive(target));
  }

  @Override
  public void onSent() {
    if (acceptsCallbacks()) {
      sentAt = OptionalLong.of(exchange.now());
    }
  }

  @Override
  public void onHead(ResponseHead responseHead) {
    if (acceptsCallbacks()) {
      head = responseHead;
      exchange.steps().run(() -> exchange.onResponseHead(this));
    }
  }

  @Override
  public void onBody(byte[] bytes) {
    if (acceptsCallbacks()) {
      exchange.steps().run(() -> exchange.onBody(this, bytes));
    }
  }

  @Override
  public void onEnd(ResponseEnd responseEnd) {
    if (acceptsCallbacks()) {
      exchange.steps().run(() -> exchange.onResponseEnd(this, responseEnd));
    }
  }

  @Override
  public void onFailure(TargetFailure failure) {
    if (acceptsCallbacks()) {
      exchange.steps().run(() -> exchange.onAttemptFailed(this, failure));
    }
  }
}
