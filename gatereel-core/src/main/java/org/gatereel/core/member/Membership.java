package org.gatereel.core.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.internal.Rendezvous;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostDescription;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.HostList;
import org.gatereel.core.model.LifeState;
import org.gatereel.core.peer.PeerMessage;

/**
 * Tracks the entry hosts and which of them respond.
 *
 * <p>The platform's list names the hosts. Each host exchanges heartbeats with a fixed number of
 * neighbours on a hash ring, so that the cost does not grow with the number of hosts. A peer counts
 * as lost if its heartbeats stop or if a message to it could not be delivered.
 */
public final class Membership {
  static final long HEARTBEAT_INTERVAL_MILLIS = 500;
  static final long SILENCE_TIMEOUT_MILLIS = 2_000;
  private static final long UNREACHABLE_TIMEOUT_MILLIS = 1_000;
  private static final int NEIGHBOURS_PER_DIRECTION = 4;
  private static final String RING_KEY = "ring";

  private final CoreContext context;
  private final Map<HostId, Peer> peers = new LinkedHashMap<>();
  private final Supplier<PeerMessage> heartbeat;
  private final List<Consumer<HostId>> lostListeners = new ArrayList<>();
  private Set<HostId> neighbours = Set.of();
  private long listVersion = -1;

  private static final class Peer {
    private HostDescription description;
    private long lastReceivedAt;
    private long unreachableUntil;
    private boolean draining;
    private boolean responding = true;

    private Peer(HostDescription description, long now) {
      this.description = description;
      this.lastReceivedAt = now;
    }
  }

  public Membership(CoreContext context, Supplier<PeerMessage> heartbeat) {
    this.context = context;
    this.heartbeat = heartbeat;
  }

  /** Starts the heartbeats; {@code seeds} are the peers from the settings. */
  public void start(List<HostDescription> seeds) {
    seeds.forEach(this::addPeer);
    chooseNeighbours();
    runHeartbeat();
  }

  /** Registers a listener that is called when a peer is lost. */
  public void onLost(Consumer<HostId> listener) {
    lostListeners.add(listener);
  }

  /** Applies the platform's list, unless a later version was applied. */
  public void applyList(HostList list) {
    if (list.version() < listVersion || list.hosts().isEmpty()) {
      return;
    }
    listVersion = list.version();
    Set<HostId> listedIds = new HashSet<>();
    list.hosts()
        .forEach(
            host -> {
              listedIds.add(host.id());
              addPeer(host);
            });
    peers.keySet().removeIf(id -> !listedIds.contains(id) && !isResponding(id));
    chooseNeighbours();
  }

  private void addPeer(HostDescription host) {
    if (!host.id().equals(context.self())) {
      peers.computeIfAbsent(host.id(), id -> new Peer(host, context.now())).description = host;
    }
  }

  private void chooseNeighbours() {
    List<HostId> ring = new ArrayList<>(peers.keySet());
    ring.add(context.self());
    ring.sort(Comparator.comparingLong(id -> Rendezvous.score(RING_KEY, id.value())));
    Set<HostId> chosen = new HashSet<>();
    int ownIndex = ring.indexOf(context.self());
    for (int step = 1; step <= NEIGHBOURS_PER_DIRECTION; step++) {
      chosen.add(ring.get(Math.floorMod(ownIndex + step, ring.size())));
      chosen.add(ring.get(Math.floorMod(ownIndex - step, ring.size())));
    }
    chosen.remove(context.self());
    chosen.stream()
        .filter(id -> !neighbours.contains(id))
        .forEach(id -> peers.get(id).lastReceivedAt = context.now());
    neighbours = chosen;
  }

  /** Sends a heartbeat to all neighbours. */
  public void sendHeartbeats() {
    neighbours.forEach(id -> context.emit(new Action.SendPeer(id, heartbeat.get())));
  }

  /** Returns the peers that this host exchanges heartbeats with. */
  public Set<HostId> neighbours() {
    return neighbours;
  }

  private void runHeartbeat() {
    context.schedule(HEARTBEAT_INTERVAL_MILLIS, this::runHeartbeat);
    sendHeartbeats();
    List.copyOf(neighbours).forEach(this::checkSilence);
  }

  private void checkSilence(HostId id) {
    Peer peer = peers.get(id);
    if (context.isPauseRecent()) {
      peer.lastReceivedAt = context.now();
    }
    if (peer.responding && context.now() - peer.lastReceivedAt > SILENCE_TIMEOUT_MILLIS) {
      // The connection may be half open; messages sent over it would be lost.
      context.emit(new Action.CloseConnection(id));
      markLost(id, peer, "silent");
    }
  }

  private void markLost(HostId id, Peer peer, String reason) {
    peer.responding = false;
    context.logEvent(EventCode.PEER_LOST, id.value(), reason);
    lostListeners.forEach(listener -> listener.accept(id));
  }

  /** Records a heartbeat of a peer. */
  public void recordMessage(HostId id, boolean draining) {
    Peer peer = peers.get(id);
    if (peer == null) {
      return;
    }
    peer.lastReceivedAt = context.now();
    peer.draining = draining;
    peer.unreachableUntil = 0;
    if (!peer.responding) {
      peer.responding = true;
      context.logEvent(EventCode.PEER_REACHED, id.value(), "");
    }
  }

  /** Records a message of a peer that is not a heartbeat. */
  public void recordMessage(HostId id) {
    Peer peer = peers.get(id);
    if (peer != null) {
      recordMessage(id, peer.draining);
    }
  }

  /** Records that a message to a peer could not be delivered. */
  public void markUnreachable(HostId id) {
    Peer peer = peers.get(id);
    if (peer == null) {
      return;
    }
    peer.unreachableUntil = context.now() + UNREACHABLE_TIMEOUT_MILLIS;
    if (peer.responding) {
      markLost(id, peer, "not connected");
    }
  }

  /** Returns whether the peer is expected to receive a message. */
  public boolean isResponding(HostId id) {
    Peer peer = peers.get(id);
    if (peer == null || context.now() < peer.unreachableUntil) {
      return false;
    }
    return peer.responding || !neighbours.contains(id);
  }

  /** Returns the responding peers that accept new work. */
  public List<HostDescription> reachablePeers() {
    return peers.values().stream()
        .filter(peer -> !peer.draining && peer.description.state() == LifeState.LIVE)
        .map(peer -> peer.description)
        .filter(description -> isResponding(description.id()))
        .toList();
  }

  /** Returns the responding hosts of a data centre, including this one if it belongs to it. */
  public List<HostId> respondingHosts(DataCentre dataCentre) {
    List<HostId> hosts = new ArrayList<>();
    if (dataCentre.equals(context.dataCentre())) {
      hosts.add(context.self());
    }
    reachablePeers().stream()
        .filter(peer -> peer.dataCentre().equals(dataCentre))
        .forEach(peer -> hosts.add(peer.id()));
    return hosts;
  }

  /** Returns the number of data centres of all known hosts, including this one. */
  public int dataCentreCount() {
    Set<DataCentre> all = new HashSet<>();
    all.add(context.dataCentre());
    peers.values().forEach(peer -> all.add(peer.description.dataCentre()));
    return all.size();
  }

  /** Returns every known peer, whether or not it responds. */
  public List<HostDescription> knownPeers() {
    return peers.values().stream().map(peer -> peer.description).toList();
  }

  public Optional<HostDescription> find(HostId id) {
    return Optional.ofNullable(peers.get(id)).map(peer -> peer.description);
  }
}
