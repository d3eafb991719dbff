package org.gatereel.proofs.world;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.gatereel.core.event.Event;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.peer.PeerMessage;

/** The links between hosts: in order as TCP is, unless a test asks for worse. */
public final class Network {
  private static final long DELAY = 1;

  private final World world;
  private final Set<Link> cut = new HashSet<>();
  private final Set<DataCentre> cutHalls = new HashSet<>();
  private final Map<Link, Long> lastArrival = new HashMap<>();
  private int lossPercent;
  private int doublePercent;
  private int latePercent;

  private record Link(HostId from, HostId to) {}

  Network(World world) {
    this.world = world;
  }

  /** Has some messages lost, doubled, or late enough to cross others. */
  public void misbehave(int loss, int doubled, int late) {
    lossPercent = loss;
    doublePercent = doubled;
    latePercent = late;
  }

  public void cutOneWay(HostId from, HostId to) {
    cut.add(new Link(from, to));
  }

  public void cutBothWays(HostId one, HostId other) {
    cutOneWay(one, other);
    cutOneWay(other, one);
  }

  /** Cuts a data centre off from the others and from the platform. */
  public void cutHall(DataCentre hall) {
    cutHalls.add(hall);
  }

  public void heal() {
    cut.clear();
    cutHalls.clear();
  }

  boolean isCutOff(DataCentre hall) {
    return cutHalls.contains(hall);
  }

  private boolean isCut(FakeHost from, FakeHost to) {
    boolean sameHall = from.dataCentre().equals(to.dataCentre());
    boolean hallCut = cutHalls.contains(from.dataCentre()) || cutHalls.contains(to.dataCentre());
    return cut.contains(new Link(from.id(), to.id())) || (hallCut && !sameHall);
  }

  void send(FakeHost from, HostId peer, PeerMessage message) {
    FakeHost to = world.host(peer);
    if (isCut(from, to) || happens(lossPercent)) {
      return;
    }
    if (to.isDead()) {
      world.after(DELAY, () -> from.receive(new Event.PeerUnreachable(peer, true)));
      return;
    }
    deliver(from, to, message);
    if (happens(doublePercent)) {
      deliver(from, to, message);
    }
  }

  private void deliver(FakeHost from, FakeHost to, PeerMessage message) {
    long arrival = world.now() + DELAY;
    if (happens(latePercent)) {
      arrival += world.random().nextInt(400);
    } else {
      Link link = new Link(from.id(), to.id());
      arrival = Math.max(arrival, lastArrival.getOrDefault(link, 0L));
      lastArrival.put(link, arrival);
    }
    world.after(
        arrival - world.now(), () -> to.receive(new Event.PeerMessageReceived(from.id(), message)));
  }

  private boolean happens(int percent) {
    return percent > 0 && world.random().nextInt(100) < percent;
  }
}
