package org.gatereel.core.call;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.gatereel.core.peer.CallState;
import org.gatereel.core.peer.PeerMessage;

/** The state of a call that this host has claimed or is claiming. */
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

  /** Returns the value of the latest claim that this host tried to write. */
  String claimValue() {
    return claimValue;
  }

  /** Returns how often this host has tried to replace an abandoned claim. */
  int claimReplacements() {
    return claimReplacements;
  }

  void claimReplacements(int count) {
    claimReplacements = count;
  }

  /** Records that this host will never execute the call under its latest claim value. */
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

  /** Registers a listener that is called once, when the call ends. */
  void addListener(Consumer<CallRecord> listener) {
    listeners.add(listener);
  }

  void complete(int responseStatus, String responseBody) {
    status = responseStatus;
    body = responseBody;
    finish(CallState.ANSWERED);
  }

  void finish(CallState endState) {
    state = endState;
    List<Consumer<CallRecord>> notified = List.copyOf(listeners);
    listeners.clear();
    notified.forEach(listener -> listener.accept(this));
  }

  PeerMessage.OutcomeAnswer toOutcomeAnswer(long ticket) {
    return new PeerMessage.OutcomeAnswer(ticket, state, status, body);
  }
}
