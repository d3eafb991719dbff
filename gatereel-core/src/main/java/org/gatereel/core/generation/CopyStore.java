package org.gatereel.core.generation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.GenerationSpec;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.RequestId;
import org.gatereel.core.peer.PeerMessage;
import org.gatereel.core.peer.TakeoverRefusal;

/**
 * Holds copies of generations that other hosts own.
 *
 * <p>Accepts tokens only from the owner with the highest epoch it has granted. An owner that was
 * suspended during a takeover therefore gets no acknowledgement and releases no further tokens.
 */
public final class CopyStore {
  private static final long EXPIRY_TIMEOUT_MILLIS = 180_000;
  private static final long SWEEP_INTERVAL_MILLIS = 5_000;

  private final CoreContext context;
  private final Map<RequestId, HeldCopy> copies = new HashMap<>();

  private static final class HeldCopy {
    private final GenerationSpec spec;
    private final List<String> tokens;
    private HostId owner;
    private int epoch;
    private boolean finished;
    private long lastUpdatedAt;

    private HeldCopy(HostId owner, PeerMessage.CopyOpen open) {
      this.spec = open.spec();
      this.owner = owner;
      this.epoch = open.epoch();
      this.tokens = new ArrayList<>(open.tokens());
      this.finished = open.finished();
    }

    private boolean isOwnedBy(HostId host, int hostEpoch) {
      return owner.equals(host) && epoch == hostEpoch;
    }
  }

  /** A copy handed over to a new owner. */
  public record Handover(GenerationSpec spec, int epoch, List<String> tokens, boolean finished) {}

  public CopyStore(CoreContext context) {
    this.context = context;
  }

  /** Starts the periodic removal of expired copies. */
  public void start() {
    context.schedule(SWEEP_INTERVAL_MILLIS, this::sweep);
  }

  private void sweep() {
    context.schedule(SWEEP_INTERVAL_MILLIS, this::sweep);
    copies.values().removeIf(copy -> context.now() - copy.lastUpdatedAt > EXPIRY_TIMEOUT_MILLIS);
  }

  /** Stores a copy; an owner that was replaced receives {@link PeerMessage.CopyFenced}. */
  public void handleOpen(HostId from, PeerMessage.CopyOpen open) {
    RequestId request = open.spec().request();
    HeldCopy held = copies.get(request);
    if (held != null && isStale(held, from, open.epoch())) {
      sendFenced(from, request, held.epoch);
      return;
    }
    boolean duplicate =
        held != null
            && held.isOwnedBy(from, open.epoch())
            && held.tokens.size() >= open.tokens().size();
    if (!duplicate) {
      copies.put(request, new HeldCopy(from, open));
    }
    // A duplicate message must not remove tokens that were already acknowledged.
    acknowledge(from, copies.get(request));
  }

  private static boolean isStale(HeldCopy held, HostId from, int epoch) {
    return held.epoch > epoch || (held.epoch == epoch && !held.owner.equals(from));
  }

  /** Appends tokens to a copy; ignores tokens that it already contains. */
  public void handleAppend(HostId from, PeerMessage.CopyAppend append) {
    HeldCopy copy = copies.get(append.request());
    if (copy == null) {
      send(from, new PeerMessage.CopyMissing(append.request(), append.epoch()));
      return;
    }
    if (!copy.isOwnedBy(from, append.epoch())) {
      sendFenced(from, append.request(), copy.epoch);
      return;
    }
    int held = copy.tokens.size() - append.from();
    if (held >= 0 && held <= append.tokens().size()) {
      copy.tokens.addAll(append.tokens().subList(held, append.tokens().size()));
      copy.finished |= append.finished();
    }
    acknowledge(from, copy);
  }

  private void acknowledge(HostId owner, HeldCopy copy) {
    copy.lastUpdatedAt = context.now();
    send(
        owner,
        new PeerMessage.CopyHeld(
            copy.spec.request(), copy.epoch, copy.tokens.size(), copy.finished));
  }

  private void sendFenced(HostId owner, RequestId request, int epoch) {
    send(owner, new PeerMessage.CopyFenced(request, epoch));
  }

  /** Removes a copy if the message comes from its current owner. */
  public void handleDrop(HostId from, PeerMessage.CopyDrop drop) {
    HeldCopy copy = copies.get(drop.request());
    if (copy != null && copy.isOwnedBy(from, drop.epoch())) {
      copies.remove(drop.request());
    }
  }

  /** Returns why the copy of a generation cannot be handed over; empty if it can. */
  public Optional<TakeoverRefusal> takeoverRefusal(
      RequestId request, AccountId account, int offset, long digest) {
    HeldCopy copy = copies.get(request);
    if (copy == null) {
      return Optional.of(TakeoverRefusal.MISSING);
    }
    if (!copy.spec.account().equals(account)) {
      return Optional.of(TakeoverRefusal.WRONG_ACCOUNT);
    }
    boolean samePrefix =
        offset <= copy.tokens.size() && PrefixDigest.of(copy.tokens, offset) == digest;
    return samePrefix ? Optional.empty() : Optional.of(TakeoverRefusal.OTHER_PREFIX);
  }

  /**
   * Makes {@code newOwner} the owner under the next epoch and fences the former owner.
   *
   * <p>{@link #takeoverRefusal} must have returned empty during the same event. If the new owner is
   * this host, the copy is removed: a host never holds a copy of its own generation.
   */
  public Handover handOver(RequestId request, HostId newOwner) {
    HeldCopy copy = copies.get(request);
    HostId formerOwner = copy.owner;
    copy.epoch++;
    copy.owner = newOwner;
    copy.lastUpdatedAt = context.now();
    if (newOwner.equals(context.self())) {
      copies.remove(request);
    }
    if (!formerOwner.equals(newOwner) && !formerOwner.equals(context.self())) {
      sendFenced(formerOwner, request, copy.epoch);
    }
    context.logEvent(
        EventCode.TAKEOVER_GRANTED, request.value(), newOwner + ", epoch " + copy.epoch);
    return new Handover(copy.spec, copy.epoch, List.copyOf(copy.tokens), copy.finished);
  }

  /**
   * Stores a copy of a generation that this host owned.
   *
   * <p>The copy is needed because the requesting host may have given up its takeover by now.
   */
  void add(Handover handover) {
    PeerMessage.CopyOpen open =
        new PeerMessage.CopyOpen(
            handover.spec(), handover.epoch(), handover.tokens(), handover.finished());
    HeldCopy copy = new HeldCopy(context.self(), open);
    copy.lastUpdatedAt = context.now();
    copies.put(handover.spec().request(), copy);
  }

  public int size() {
    return copies.size();
  }

  private void send(HostId peer, PeerMessage message) {
    context.emit(new Action.SendPeer(peer, message));
  }
}
