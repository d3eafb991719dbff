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
  private final List<Consumer<CallRecord>> listeners = new ArrayList<>();
  private CallState state = CallState.RUNNING;
  private final Set<String> abandoned = new HashSet<>();
  private String claimValue = "";
  private int claimReplacements;
  private int status;
  private String body = "";

  CallRecord(String key, String bodyDigest) {
    this.key = key;
    this.bodyDigest = bodyDigest;
  }

  /** Returns a record of a call that ended before. */
  static CallRecord ofState(String key, CallState state) {
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
  int claimReplacements() {
    return claimReplacements;
  }

  void claimReplacements(int count) {
    claimReplacements = count;
  }

  /** Remembers that this host will never act on the value it last tried to write. */
  void abandonClaim() {
    abandoned.add(claimValue);
  }

  boolean hasAbandoned(String value) {
    return abandoned.contains(value);
  }

  void startClaim(String value) {
    claimValue = value;
    state = CallState.RUNNING;
  }

  /** Has {@code waiter} called when the call has ended. */
  void addListener(Consumer<CallRecord> waiter) {
    listeners.add(waiter);
  }

  void complete(int answerStatus, String answerBody) {
    status = answerStatus;
    body = answerBody;
    finish(CallState.ANSWERED);
  }

  void finish(CallState ended) {
    state = ended;
    List<Consumer<CallRecord>> told = List.copyOf(listeners);
    listeners.clear();
    told.forEach(waiter -> waiter.accept(this));
  }

  PeerMessage.OutcomeAnswer toOutcomeAnswer(long ticket) {
    return new PeerMessage.OutcomeAnswer(ticket, state, status, body);
  }
}
