package org.gatereel.core.call;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.gatereel.core.action.Action;
import org.gatereel.core.internal.Rendezvous;
import org.gatereel.core.internal.TimerQueue;
import org.gatereel.core.internal.Turn;
import org.gatereel.core.member.Membership;
import org.gatereel.core.model.HostId;
import org.gatereel.core.peer.PeerMessage;
import org.gatereel.core.platform.PlatformPort;
import org.gatereel.core.platform.TableWrite;

/**
 * Brings claims together at a few hosts of the data centre, which write them in groups.
 *
 * <p>Which host writes a claim is a matter of cost only: the table decides who has it. So a host
 * that sees other members than its peers, or gets no answer, may write on its own.
 */
final class ClaimDesk {
  private static final int WRITERS_IN_DATA_CENTRE = 2;
  private static final int TRANSACTIONS_A_SECOND = 70;
  private static final int MILLIS_A_SECOND = 1_000;
  private static final long PEER_MILLIS = 400;
  private static final String WRITERS = "claim-writers";

  private final Turn turn;
  private final Membership members;
  private final ClaimWriter writer;
  private final Map<Long, Asked> asked = new HashMap<>();

  /** A claim that a peer is to write. */
  private record Asked(
      HostId peer, TableWrite write, Consumer<Optional<String>> done, TimerQueue.Timer timer) {}

  ClaimDesk(Turn turn, Membership members, PlatformPort platform) {
    this.turn = turn;
    this.members = members;
    this.writer = new ClaimWriter(turn, platform, this::intervalMillis);
  }

  /** Returns how long a writer waits between two transactions, so that all keep within the rate. */
  private int intervalMillis() {
    int writers = WRITERS_IN_DATA_CENTRE * members.dataCentres();
    return MILLIS_A_SECOND * writers / TRANSACTIONS_A_SECOND;
  }

  /** Claims a row; {@code done} gets the value in force, or empty if nothing is known. */
  void claim(TableWrite write, Consumer<Optional<String>> done) {
    HostId home = home(write.key());
    if (home.equals(turn.self()) || write.expected().isPresent()) {
      writer.claim(write, done);
      return;
    }
    long ticket = turn.nextTicket();
    TimerQueue.Timer timer = turn.after(PEER_MILLIS, () -> writeHere(ticket));
    asked.put(ticket, new Asked(home, write, done, timer));
    turn.emit(
        new Action.SendPeer(home, new PeerMessage.ClaimAsk(ticket, write.key(), write.value())));
  }

  private HostId home(String key) {
    List<HostId> here = members.answeringIn(turn.dataCentre());
    List<HostId> writers =
        Rendezvous.rank(WRITERS, here, HostId::value).stream()
            .limit(WRITERS_IN_DATA_CENTRE)
            .toList();
    return Rendezvous.rank(key, writers, HostId::value).get(0);
  }

  private void writeHere(long ticket) {
    Asked claim = asked.remove(ticket);
    if (claim != null) {
      claim.timer().cancel();
      writer.claim(claim.write(), claim.done());
    }
  }

  /** Writes the claims on this host that a lost peer was to write. */
  void peerUnreachable(HostId peer) {
    for (Map.Entry<Long, Asked> entry : List.copyOf(asked.entrySet())) {
      if (entry.getValue().peer().equals(peer)) {
        writeHere(entry.getKey());
      }
    }
  }

  /** Writes a claim for a peer. */
  void asked(HostId from, PeerMessage.ClaimAsk ask) {
    writer.claim(
        TableWrite.insert(ask.key(), ask.value()),
        present ->
            turn.emit(
                new Action.SendPeer(from, new PeerMessage.ClaimResult(ask.ticket(), present))));
  }

  /** Takes in what a peer says of a claim. */
  void answered(PeerMessage.ClaimResult result) {
    Asked claim = asked.remove(result.ticket());
    if (claim != null) {
      claim.timer().cancel();
      claim.done().accept(result.present());
    }
  }
}
