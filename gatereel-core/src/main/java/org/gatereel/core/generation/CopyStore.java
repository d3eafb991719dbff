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
 * The copies that this host holds of generations that other hosts own.
 *
 * <p>The holder is where owners are fenced: it takes tokens only from the owner of the highest
 * epoch it has granted, so that an owner that slept through a takeover can release nothing more.
 */
public final class CopyStore {
  private static final long EXPIRY_TIMEOUT_MILLIS = 180_000;
  private static final long SWEEP_INTERVAL_MILLIS = 5_000;

  private final CoreContext context;
  private final Map<RequestId, HeldCopy> copies = new HashMap<>();

  /** One copy. */
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

  /** Starts the sweep that drops copies nobody has touched for long. */
  public void start() {
    context.schedule(SWEEP_INTERVAL_MILLIS, this::sweep);
  }

  private void sweep() {
    copies.values().removeIf(copy -> context.now() - copy.lastUpdatedAt > EXPIRY_TIMEOUT_MILLIS);
    context.schedule(SWEEP_INTERVAL_MILLIS, this::sweep);
  }

  /** Takes a copy, or refuses it from an owner that was replaced. */
  public void handleOpen(HostId from, PeerMessage.CopyOpen open) {
    RequestId request = open.spec().request();
    HeldCopy known = copies.get(request);
    if (known != null && isStale(known, from, open.epoch())) {
      sendFenced(from, request, known.epoch);
      return;
    }
    boolean doubled =
        known != null
            && known.isOwnedBy(from, open.epoch())
            && known.tokens.size() >= open.tokens().size();
    if (!doubled) {
      copies.put(request, new HeldCopy(from, open));
    }
    // A message that comes twice must not take away what the owner was told is held.
    acknowledge(from, copies.get(request));
  }

  private static boolean isStale(HeldCopy known, HostId from, int epoch) {
    return known.epoch > epoch || (known.epoch == epoch && !known.owner.equals(from));
  }

  /** Adds tokens to a copy; tokens that are here already are passed over. */
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
    int known = copy.tokens.size() - append.from();
    if (known >= 0 && known <= append.tokens().size()) {
      copy.tokens.addAll(append.tokens().subList(known, append.tokens().size()));
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

  /** Lets go of a copy if its present owner says so. */
  public void handleDrop(HostId from, PeerMessage.CopyDrop drop) {
    HeldCopy copy = copies.get(drop.request());
    if (copy != null && copy.isOwnedBy(from, drop.epoch())) {
      copies.remove(drop.request());
    }
  }

  /** Returns why a generation cannot be handed over from here; empty if it can. */
  public Optional<TakeoverRefusal> takeoverRefusal(
      RequestId request, AccountId account, int offset, long digest) {
    HeldCopy copy = copies.get(request);
    if (copy == null) {
      return Optional.of(TakeoverRefusal.MISSING);
    }
    if (!copy.spec.account().equals(account)) {
      return Optional.of(TakeoverRefusal.WRONG_ACCOUNT);
    }
    boolean same = offset <= copy.tokens.size() && PrefixDigest.of(copy.tokens, offset) == digest;
    return same ? Optional.empty() : Optional.of(TakeoverRefusal.OTHER_PREFIX);
  }

  /**
   * Makes {@code newOwner} the owner under the next epoch and tells the former owner.
   *
   * <p>The caller has checked {@link #takeoverRefusal} in the same turn. If the new owner is this
   * host itself, the copy is taken out: a host is never its own holder.
   */
  public Handover handOver(RequestId request, HostId newOwner) {
    HeldCopy copy = copies.get(request);
    HostId former = copy.owner;
    copy.epoch++;
    copy.owner = newOwner;
    copy.lastUpdatedAt = context.now();
    if (newOwner.equals(context.self())) {
      copies.remove(request);
    }
    if (!former.equals(newOwner) && !former.equals(context.self())) {
      sendFenced(former, request, copy.epoch);
    }
    context.logEvent(
        EventCode.TAKEOVER_GRANTED, request.value(), newOwner + ", epoch " + copy.epoch);
    return new Handover(copy.spec, copy.epoch, List.copyOf(copy.tokens), copy.finished);
  }

  /**
   * Becomes the holder of a generation that this host owned.
   *
   * <p>An owner that hands over must keep a copy: whoever asked may have given up by now.
   */
  void add(Handover handover) {
    PeerMessage.CopyOpen open =
        new PeerMessage.CopyOpen(
            handover.spec(), handover.epoch(), handover.tokens(), handover.finished());
    HeldCopy copy = new HeldCopy(context.self(), open);
    copy.lastUpdatedAt = context.now();
    copies.put(handover.spec().request(), copy);
  }

  /** Returns how many copies are held. */
  public int size() {
    return copies.size();
  }

  private void send(HostId peer, PeerMessage message) {
    context.emit(new Action.SendPeer(peer, message));
  }
}
