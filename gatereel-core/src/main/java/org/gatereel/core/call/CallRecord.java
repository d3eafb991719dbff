package org.gatereel.core.call;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.gatereel.core.peer.CallState;
import org.gatereel.core.peer.PeerMessage;

/** What this host knows of a call that it claimed, or is about to claim. */
final class CallRecord {
  private final String key;
  private final String bodyDigest;
  private final List<Consumer<CallRecord>> waiters = new ArrayList<>();
  private CallState state = CallState.RUNNING;
  private final Set<String> abandoned = new HashSet<>();
  private String claimValue = "";
  private int swaps;
  private int status;
  private String body = "";

  CallRecord(String key, String bodyDigest) {
    this.key = key;
    this.bodyDigest = bodyDigest;
  }

  /** Returns a record of a call that ended before. */
  static CallRecord ended(String key, CallState state) {
    CallRecord record = new CallRecord(key, "");
    record.state = state;
    return record;
  }

  String key() {
    return key;
  }

  String bodyDigest() {
    return bodyDigest;
  }

  CallState state() {
    return state;
  }

  int status() {
    return status;
  }

  String body() {
    return body;
  }

  /** Returns the value that this host last tried to write for the claim. */
  String claimValue() {
    return claimValue;
  }

  /** Returns how often this host tried to replace an abandoned claim. */
  int swaps() {
    return swaps;
  }

  void swaps(int count) {
    swaps = count;
  }

  /** Remembers that this host will never act on the value it last tried to write. */
  void abandon() {
    abandoned.add(claimValue);
  }

  boolean hasAbandoned(String value) {
    return abandoned.contains(value);
  }

  void claimingWith(String value) {
    claimValue = value;
    state = CallState.RUNNING;
  }

  /** Has {@code waiter} called when the call has ended. */
  void whenEnded(Consumer<CallRecord> waiter) {
    waiters.add(waiter);
  }

  void answered(int answerStatus, String answerBody) {
    status = answerStatus;
    body = answerBody;
    end(CallState.ANSWERED);
  }

  void end(CallState ended) {
    state = ended;
    List<Consumer<CallRecord>> told = List.copyOf(waiters);
    waiters.clear();
    told.forEach(waiter -> waiter.accept(this));
  }

  PeerMessage.OutcomeAnswer toAnswer(long ticket) {
    return new PeerMessage.OutcomeAnswer(ticket, state, status, body);
  }
}
