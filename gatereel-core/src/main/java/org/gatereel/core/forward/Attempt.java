package org.gatereel.core.forward;

import java.io.ByteArrayOutputStream;
import java.util.OptionalLong;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.target.TargetState;

/** One try of an exchange at one target, as far as it has come. */
final class Attempt implements TargetPort.Listener {
  private static final int OK_STATUS = 200;

  private final Exchange exchange;
  private final long startedAt;
  private final TargetState target;
  private final boolean continuation;
  private final EventStreamReader events = new EventStreamReader();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private TargetPort.Call call;
  private ResponseHead head;
  private OptionalLong headAt = OptionalLong.empty();
  private ResponseEnd end;
  private long endedAt;
  private boolean probed;
  private boolean sent;
  private boolean closed;
  private long forwardedEventCount;
  private OptionalLong lastReceivedEventId = OptionalLong.empty();
  private boolean prefilling;
  private long lastDataAt;
  private OptionalLong paceStartedAt = OptionalLong.empty();

  Attempt(Exchange exchange, TargetState target, boolean continuation, long now) {
    this.exchange = exchange;
    this.startedAt = now;
    this.target = target;
    this.continuation = continuation;
    this.lastDataAt = now;
  }

  void setCall(TargetPort.Call started) {
    call = started;
  }

  long startedAt() {
    return startedAt;
  }

  TargetState target() {
    return target;
  }

  /** Returns whether this attempt goes on from a copy of an earlier run's memory. */
  boolean isContinuation() {
    return continuation;
  }

  /** Returns whether the target may have begun to run the request. */
  boolean mayHaveExecuted() {
    return sent;
  }

  boolean isClosed() {
    return closed;
  }

  ResponseHead head() {
    return head;
  }

  /** Notes that the answer's head is here. */
  void recordHead(long now) {
    headAt = OptionalLong.of(now);
  }

  /** Returns when the answer's head came, by which a run had begun. */
  OptionalLong headAt() {
    return headAt;
  }

  /** Notes that the answer is at its end. */
  void recordEnd(ResponseEnd how, long now) {
    end = how;
    endedAt = now;
  }

  /** Notes that the target was probed for whether the end of its connection was its own. */
  void recordProbed() {
    probed = true;
  }

  boolean wasProbed() {
    return probed;
  }

  /** Returns how the transport knew that the answer was at its end. */
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

  /** Hands over the head, and what has come of the body since the last call. */
  TargetResponse takeResponse() {
    byte[] taken = body.toByteArray();
    body.reset();
    return new TargetResponse(head, taken);
  }

  /** Returns whether the target's answer is a stream of events. */
  boolean isEventStream() {
    return head.isEventStream() && head.status() == OK_STATUS;
  }

  /** Returns whether the target has made events of the stream in this attempt. */
  boolean hasForwardedEvents() {
    return forwardedEventCount > 0;
  }

  /** Returns whether any event came in this attempt, also one that the caller had. */
  boolean hasReceivedEvents() {
    return lastReceivedEventId.isPresent() || hasForwardedEvents();
  }

  /** Returns how many events of this attempt the caller was given. */
  long forwardedEventCount() {
    return forwardedEventCount;
  }

  /** Returns the id of the last event that came in this attempt, also if the caller had it. */
  OptionalLong lastReceivedEventId() {
    return lastReceivedEventId;
  }

  /** Notes an event of this attempt that has an id. */
  void recordReceived(long id) {
    lastReceivedEventId = OptionalLong.of(id);
  }

  void recordForwarded() {
    forwardedEventCount++;
    endPrefill();
  }

  /** Notes that the target has a prompt to read before it answers, unless it has it in a copy. */
  void beginPrefill() {
    if (!continuation) {
      prefilling = true;
      target.noteReading(1);
    }
  }

  private void endPrefill() {
    if (prefilling) {
      prefilling = false;
      target.noteReading(-1);
    }
  }

  /** Notes when the first event came, from which the pace of the others is taken. */
  void startPaceMeasurement(long now) {
    paceStartedAt = OptionalLong.of(now);
  }

  /** Returns when the first event came; once, so that the pace is told once. */
  OptionalLong takePaceStart() {
    OptionalLong taken = paceStartedAt;
    paceStartedAt = OptionalLong.empty();
    return taken;
  }

  /** Returns when the target last showed that it works on this attempt. */
  long lastDataAt() {
    return lastDataAt;
  }

  void recordDataReceived(long now) {
    lastDataAt = now;
    target.noteSign(now);
  }

  /** Marks the end; returns whether it had not ended before. */
  boolean close() {
    boolean first = !closed;
    closed = true;
    endPrefill();
    return first;
  }

  /** Closes the connection to the target, if there is one. */
  void cancel() {
    if (call != null) {
      call.cancel();
    }
  }

  /** Nothing that comes after an attempt's end, or after it was given up, is taken in. */
  private boolean acceptsCallbacks() {
    return !closed && end == null;
  }

  @Override
  public boolean maySend() {
    return acceptsCallbacks() && exchange.mayStillReceive(target);
  }

  @Override
  public void onSent() {
    if (acceptsCallbacks()) {
      sent = true;
    }
  }

  @Override
  public void onHead(ResponseHead answer) {
    if (acceptsCallbacks()) {
      head = answer;
      exchange.onResponseHead(this);
    }
  }

  @Override
  public void onBody(byte[] bytes) {
    if (acceptsCallbacks()) {
      exchange.onBody(this, bytes);
    }
  }

  @Override
  public void onEnd(ResponseEnd how) {
    if (acceptsCallbacks()) {
      exchange.onResponseEnd(this, how);
    }
  }

  @Override
  public void onFailure(TargetFailure failure) {
    if (acceptsCallbacks()) {
      exchange.onAttemptFailed(this, failure);
    }
  }
}
