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
  private AnswerHead head;
  private OptionalLong headAt = OptionalLong.empty();
  private AnswerEnd end;
  private long endedAt;
  private boolean probed;
  private boolean sent;
  private boolean closed;
  private long eventCount;
  private OptionalLong lastOfRun = OptionalLong.empty();
  private boolean reading;
  private long lastSignAt;
  private OptionalLong paceFrom = OptionalLong.empty();

  Attempt(Exchange exchange, TargetState target, boolean continuation, long now) {
    this.exchange = exchange;
    this.startedAt = now;
    this.target = target;
    this.continuation = continuation;
    this.lastSignAt = now;
  }

  void started(TargetPort.Call started) {
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
  boolean mayHaveRun() {
    return sent;
  }

  boolean isClosed() {
    return closed;
  }

  AnswerHead head() {
    return head;
  }

  /** Notes that the answer's head is here. */
  void noteHead(long now) {
    headAt = OptionalLong.of(now);
  }

  /** Returns when the answer's head came, by which a run had begun. */
  OptionalLong headAt() {
    return headAt;
  }

  /** Notes that the answer is at its end. */
  void noteEnd(AnswerEnd how, long now) {
    end = how;
    endedAt = now;
  }

  /** Notes that the target was probed for whether the end of its connection was its own. */
  void noteProbed() {
    probed = true;
  }

  boolean wasProbed() {
    return probed;
  }

  /** Returns how the transport knew that the answer was at its end. */
  AnswerEnd end() {
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
  Answer takeAnswer() {
    byte[] taken = body.toByteArray();
    body.reset();
    return new Answer(head, taken);
  }

  /** Returns whether the target's answer is a stream of events. */
  boolean answersWithStream() {
    return head.isEventStream() && head.status() == OK_STATUS;
  }

  /** Returns whether the target has made events of the stream in this attempt. */
  boolean hasEvents() {
    return eventCount > 0;
  }

  /** Returns whether any event came in this attempt, also one that the caller had. */
  boolean hasCome() {
    return lastOfRun.isPresent() || hasEvents();
  }

  /** Returns how many events of this attempt the caller was given. */
  long eventCount() {
    return eventCount;
  }

  /** Returns the id of the last event that came in this attempt, also if the caller had it. */
  OptionalLong lastOfRun() {
    return lastOfRun;
  }

  /** Notes an event of this attempt that has an id. */
  void noteCame(long id) {
    lastOfRun = OptionalLong.of(id);
  }

  void notePassed() {
    eventCount++;
    endReading();
  }

  /** Notes that the target has a prompt to read before it answers, unless it has it in a copy. */
  void beginReading() {
    if (!continuation) {
      reading = true;
      target.adjustPrefills(1);
    }
  }

  private void endReading() {
    if (reading) {
      reading = false;
      target.adjustPrefills(-1);
    }
  }

  /** Notes when the first event came, from which the pace of the others is taken. */
  void notePaceFrom(long now) {
    paceFrom = OptionalLong.of(now);
  }

  /** Returns when the first event came; once, so that the pace is told once. */
  OptionalLong takePaceFrom() {
    OptionalLong taken = paceFrom;
    paceFrom = OptionalLong.empty();
    return taken;
  }

  /** Returns when the target last showed that it works on this attempt. */
  long lastSignAt() {
    return lastSignAt;
  }

  void noteSign(long now) {
    lastSignAt = now;
    target.recordDataReceived(now);
  }

  /** Marks the end; returns whether it had not ended before. */
  boolean close() {
    boolean first = !closed;
    closed = true;
    endReading();
    return first;
  }

  /** Closes the connection to the target, if there is one. */
  void cancel() {
    if (call != null) {
      call.cancel();
    }
  }

  /** Nothing that comes after an attempt's end, or after it was given up, is taken in. */
  private boolean isHeard() {
    return !closed && end == null;
  }

  @Override
  public boolean mayBeSent() {
    return isHeard() && exchange.mayStillHave(target);
  }

  @Override
  public void sent() {
    if (isHeard()) {
      sent = true;
    }
  }

  @Override
  public void answered(AnswerHead answer) {
    if (isHeard()) {
      head = answer;
      exchange.answered(this);
    }
  }

  @Override
  public void received(byte[] bytes) {
    if (isHeard()) {
      exchange.received(this, bytes);
    }
  }

  @Override
  public void ended(AnswerEnd how) {
    if (isHeard()) {
      exchange.ended(this, how);
    }
  }

  @Override
  public void failed(TargetFailure failure) {
    if (isHeard()) {
      exchange.failed(this, failure);
    }
  }
}
