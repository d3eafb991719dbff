package org.gatereel.core.call;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.gatereel.core.action.Action;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.internal.Rendezvous;
import org.gatereel.core.internal.TimerQueue;
import org.gatereel.core.member.Membership;
import org.gatereel.core.model.HostId;
import org.gatereel.core.peer.PeerMessage;
import org.gatereel.core.platform.PlatformPort;
import org.gatereel.core.platform.TableWrite;

/**
 * Delegates claims to a few hosts of the data centre, which write them in groups.
 *
 * <p>The delegation only reduces the number of transactions; the table decides which host gets a
 * claim. A host that gets no response, or that sees other members than its peers, may therefore
 * write a claim itself.
 */
final class ClaimRouter {
  private static final int WRITERS_PER_DATA_CENTRE = 2;
  private static final int MILLIS_PER_SECOND = 1_000;

  /** The part of the store's write rate that claims use; the rest is for edits and retries. */
  private static final double CLAIM_WRITES_RATIO = 0.7;

  private static final long PEER_TIMEOUT_MILLIS = 400;
  private static final String WRITER_RANKING_KEY = "claim-writers";

  private final CoreContext context;
  private final Membership members;
  private final PlatformPort platform;
  private final ClaimWriter writer;
  private final Map<Long, DelegatedClaim> delegated = new HashMap<>();

  /** A claim that a peer was asked to write. */
  private record DelegatedClaim(
      HostId peer, TableWrite write, Consumer<Optional<String>> done, TimerQueue.Timer timer) {}

  ClaimRouter(CoreContext context, Membership members, PlatformPort platform) {
    this.context = context;
    this.members = members;
    this.platform = platform;
    this.writer = new ClaimWriter(context, platform, this::intervalMillis);
  }

  /** Returns the interval between transactions that keeps all writers together within the rate. */
  private int intervalMillis() {
    int writers = WRITERS_PER_DATA_CENTRE * members.dataCentreCount();
    double perSecond = CLAIM_WRITES_RATIO * platform.limits().writesPerSecond();
    return Math.max(1, (int) Math.ceil(MILLIS_PER_SECOND * writers / perSecond));
  }

  /** Claims a row; {@code done} receives the row's value, or empty if it is unknown. */
  void claim(TableWrite write, Consumer<Optional<String>> done) {
    HostId assignedWriter = writerFor(write.key());
    if (assignedWriter.equals(context.self()) || write.expected().isPresent()) {
      writer.claim(write, done);
      return;
    }
    long ticket = context.nextTicket();
    TimerQueue.Timer timer = context.schedule(PEER_TIMEOUT_MILLIS, () -> writeLocally(ticket));
    delegated.put(ticket, new DelegatedClaim(assignedWriter, write, done, timer));
    context.emit(
        new Action.SendPeer(
            assignedWriter, new PeerMessage.ClaimAsk(ticket, write.key(), write.value())));
  }

  private HostId writerFor(String key) {
    List<HostId> localHosts = members.respondingHosts(context.dataCentre());
    List<HostId> writers =
        Rendezvous.rank(WRITER_RANKING_KEY, localHosts, HostId::value).stream()
            .limit(WRITERS_PER_DATA_CENTRE)
            .toList();
    return Rendezvous.rank(key, writers, HostId::value).get(0);
  }

  private void writeLocally(long ticket) {
    DelegatedClaim claim = delegated.remove(ticket);
    if (claim != null) {
      claim.timer().cancel();
      writer.claim(claim.write(), claim.done());
    }
  }

  /** Writes the claims that were delegated to an unreachable peer on this host. */
  void handlePeerUnreachable(HostId peer) {
    for (Map.Entry<Long, DelegatedClaim> entry : List.copyOf(delegated.entrySet())) {
      if (entry.getValue().peer().equals(peer)) {
        writeLocally(entry.getKey());
      }
    }
  }

  void handleClaimAsk(HostId from, PeerMessage.ClaimAsk request) {
    writer.claim(
        TableWrite.insert(request.key(), request.value()),
        present ->
            context.emit(
                new Action.SendPeer(from, new PeerMessage.ClaimResult(request.ticket(), present))));
  }

  void handleClaimResult(PeerMessage.ClaimResult result) {
    DelegatedClaim claim = delegated.remove(result.ticket());
    if (claim != null) {
      claim.timer().cancel();
      claim.done().accept(result.present());
    }
  }
}
