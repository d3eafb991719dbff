package org.gatereel.core.generation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gatereel.core.admission.Admission;
import org.gatereel.core.event.PolicyVariant;
import org.gatereel.core.internal.TimerQueue;
import org.gatereel.core.model.GenerationSpec;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.TargetId;

/**
 * The state of a generation at its owner.
 *
 * <p>Invariants: released ≤ held ≤ accepted, unless there is no copy. Only live attempts append
 * tokens. The first attempt that appends the next token is the only one that stays live.
 */
final class Generation {
  static final long NO_CALLER = 0;

  final GenerationSpec spec;
  final PolicyVariant variant;
  final Map<Integer, Attempt> attempts = new LinkedHashMap<>();
  final Copy copy = new Copy();
  int epoch;
  long caller;
  boolean streamOpened;
  long resumingSince;
  long noTargetSince;
  final long requestedAt;
  TimerQueue.Timer retryTimer;
  TimerQueue.Timer expiryTimer;
  Admission.Permit permit;
  boolean endDelivered;

  private final List<String> tokens;
  private int lastAttempt;
  private TargetId lastTarget;
  private boolean finished;
  private int releasedLength;
  private long releasedDigest;

  /** The state of the copy as the owner knows it. */
  static final class Copy {
    Optional<HostId> holder = Optional.empty();

    /** Whether the holder acknowledged the copy, or the generation continues without a holder. */
    boolean ready;

    int heldLength;
    boolean heldFinished;
    int unacknowledgedSends;
    boolean awaitingAcknowledgement;
    int sentLength;
    boolean sentFinished;
    long holderChosenAt;
    TimerQueue.Timer timer;

    void reset() {
      holder = Optional.empty();
      ready = false;
      heldLength = 0;
      heldFinished = false;
      awaitingAcknowledgement = false;
      unacknowledgedSends = 0;
      stopTimer();
    }

    void stopTimer() {
      if (timer != null) {
        timer.cancel();
        timer = null;
      }
    }
  }

  Generation(
      GenerationSpec spec,
      PolicyVariant variant,
      int epoch,
      List<String> tokens,
      boolean finished,
      long now) {
    this.spec = spec;
    this.variant = variant;
    this.epoch = epoch;
    this.tokens = new ArrayList<>(tokens);
    this.finished = finished;
    this.requestedAt = now;
    this.releasedDigest = PrefixDigest.EMPTY;
    // Attempt numbers of successive owners must not overlap.
    this.lastAttempt = epoch * ATTEMPTS_PER_EPOCH;
  }

  private static final int ATTEMPTS_PER_EPOCH = 1_000;

  int length() {
    return tokens.size();
  }

  /** Returns the accepted tokens from an offset on. */
  List<String> tokensFrom(int offset) {
    return List.copyOf(tokens.subList(offset, tokens.size()));
  }

  boolean isFinished() {
    return finished;
  }

  void finish() {
    finished = true;
  }

  void append(String token) {
    tokens.add(token);
  }

  int nextAttempt() {
    return ++lastAttempt;
  }

  void setLastTarget(TargetId target) {
    lastTarget = target;
  }

  Optional<TargetId> lastTarget() {
    return Optional.ofNullable(lastTarget);
  }

  int releasedLength() {
    return releasedLength;
  }

  /** Releases the next token and returns it. */
  String releaseNext() {
    String token = tokens.get(releasedLength);
    releasedLength++;
    releasedDigest = PrefixDigest.extend(releasedDigest, token);
    return token;
  }

  /** Sets the released length to {@code offset} if the digest matches; returns whether it did. */
  boolean seekTo(int offset, long digest) {
    if (!hasPrefix(offset, digest)) {
      return false;
    }
    releasedLength = offset;
    releasedDigest = digest;
    return true;
  }

  boolean hasPrefix(int offset, long digest) {
    return offset <= tokens.size() && PrefixDigest.of(tokens, offset) == digest;
  }

  /** Returns the number of tokens that may be sent to the caller. */
  int releasable() {
    if (!copy.ready) {
      return releasedLength;
    }
    return copy.holder.isPresent() ? copy.heldLength : tokens.size();
  }

  /** Returns whether the end may be sent to the caller: all tokens and the end are held. */
  boolean isEndReleasable() {
    boolean held = copy.holder.isEmpty() || copy.heldFinished;
    return finished && copy.ready && held && releasedLength == tokens.size();
  }

  /** Returns the id of the event at the released length. */
  EventId eventId(HostId owner) {
    return new EventId(
        spec.request(),
        owner,
        copy.holder,
        lastTarget().orElse(new TargetId("none")),
        lastAttempt,
        epoch,
        releasedLength,
        releasedDigest);
  }
}
