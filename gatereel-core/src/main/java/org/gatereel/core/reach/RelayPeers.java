package org.gatereel.core.reach;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;

/**
 * Chooses the hosts that relay this host's connections.
 *
 * <p>Hosts that relayed recently are preferred, those with fewer relayed connections of this host
 * first. Other hosts are tried when those become busy. Hosts of a data centre in which others could
 * not relay come later, because a data centre often loses its links as a whole.
 */
final class RelayPeers {
  /** A host that relayed a connection within this time probably still can. */
  private static final long PROVEN_MILLIS = 5_000;

  /** In units of one relayed connection. */
  private static final double UNPROVEN_COST = 2;

  private static final double REMOTE_COST = 0.5;

  /** Outweighs {@link #REMOTE_COST}, but not that a host has relayed recently. */
  private static final double DOUBTED_DATA_CENTRE_COST = 1;

  private static final double MAX_JITTER_COST = 0.25;

  private final CoreContext context;
  private final RelayDirectory directory;
  private final Map<Address, State> states = new HashMap<>();
  private int open;

  private static final class State {
    private int open;
    private long relayedAt = Long.MIN_VALUE / 2;
    private long avoidedUntil;

    private boolean isForgettable(long now) {
      return open == 0 && now >= avoidedUntil && now - relayedAt > PROVEN_MILLIS;
    }
  }

  RelayPeers(CoreContext context, RelayDirectory directory) {
    this.context = context;
    this.directory = directory;
  }

  /**
   * Returns the host to ask next; empty if none is left.
   *
   * @param asked the hosts that were asked already
   */
  Optional<Address> choose(Set<Address> asked) {
    List<RelayPeer> peers = directory.relayPeers();
    Set<DataCentre> doubted = new HashSet<>();
    for (RelayPeer peer : peers) {
      if (isAvoided(peer.address())) {
        doubted.add(peer.dataCentre());
      }
    }
    Address best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    for (RelayPeer peer : peers) {
      if (asked.contains(peer.address()) || isAvoided(peer.address())) {
        continue;
      }
      double cost =
          cost(peer) + (doubted.contains(peer.dataCentre()) ? DOUBTED_DATA_CENTRE_COST : 0);
      if (cost < bestCost) {
        best = peer.address();
        bestCost = cost;
      }
    }
    return Optional.ofNullable(best);
  }

  private boolean isAvoided(Address peer) {
    State state = states.get(peer);
    return state != null && context.now() < state.avoidedUntil;
  }

  private double cost(RelayPeer peer) {
    State state = states.get(peer.address());
    boolean isProven = state != null && context.now() - state.relayedAt <= PROVEN_MILLIS;
    return (state == null ? 0 : state.open)
        + (isProven ? 0 : UNPROVEN_COST)
        + (peer.dataCentre().equals(context.dataCentre()) ? 0 : REMOTE_COST)
        + MAX_JITTER_COST * context.random().nextDouble();
  }

  void recordOutcome(Address peer, RelayOutcome outcome) {
    states.values().removeIf(state -> state.isForgettable(context.now()));
    State state = states.computeIfAbsent(peer, address -> new State());
    if (outcome == RelayOutcome.CONNECTED) {
      state.relayedAt = context.now();
      state.open++;
      open++;
    }
    state.avoidedUntil = context.now() + outcome.avoidMillis();
  }

  /** Records the end of a relayed connection. */
  void recordClosed(Address peer) {
    State state = states.get(peer);
    if (state != null && state.open > 0) {
      state.open--;
      open--;
    }
  }

  /** Returns the number of open connections that other hosts relay for this one. */
  int openCount() {
    return open;
  }
}
