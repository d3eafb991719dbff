package org.gatereel.core.member;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import org.gatereel.core.action.Action;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostDescription;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.LifeState;
import org.gatereel.core.peer.PeerMessage;
import org.junit.jupiter.api.Test;

class MembershipTest {
  private static final DataCentre DATA_CENTRE = new DataCentre("vic");

  private static List<HostDescription> hosts(int count) {
    List<HostDescription> hosts = new ArrayList<>();
    Address address = new Address("127.0.0.1", 1);
    for (int index = 0; index < count; index++) {
      hosts.add(
          new HostDescription(
              new HostId("host-" + index), DATA_CENTRE, address, address, LifeState.LIVE));
    }
    return hosts;
  }

  private static Membership membership(String self, int count, CoreContext context) {
    Membership members =
        new Membership(context, () -> new PeerMessage.Heartbeat(1, false, List.of()));
    members.start(hosts(count));
    assertFalse(members.find(new HostId(self)).isPresent());
    return members;
  }

  private static CoreContext context(String self) {
    return new CoreContext(new HostId(self), DATA_CENTRE, new SplittableRandom(3));
  }

  @Test
  void neighbourCountIsBounded() {
    assertEquals(8, membership("host-0", 370, context("host-0")).neighbours().size());
    assertEquals(2, membership("host-0", 3, context("host-0")).neighbours().size());
  }

  @Test
  void neighboursAreMutual() {
    HostId first = new HostId("host-0");
    for (HostId neighbour : membership("host-0", 50, context("host-0")).neighbours()) {
      Membership other = membership(neighbour.value(), 50, context(neighbour.value()));
      assertTrue(other.neighbours().contains(first));
    }
  }

  @Test
  void silentNeighbourIsLostUntilItsNextMessage() {
    CoreContext context = context("host-0");
    Membership members = membership("host-0", 3, context);
    HostId peer = new HostId("host-1");
    List<HostId> lost = new ArrayList<>();
    members.onLost(lost::add);
    for (long now = 0; now <= 3_000; now += 500) {
      context.advanceTo(now);
      context.timers().runDue(now);
      members.recordMessage(new HostId("host-2"));
    }
    assertEquals(List.of(peer), lost);
    // Messages sent over a half-open connection would be lost.
    assertTrue(context.takeActions().contains(new Action.CloseConnection(peer)));
    assertFalse(members.isResponding(peer));
    members.recordMessage(peer);
    assertTrue(members.isResponding(peer));
  }

  /** Guards against heartbeats that end for good after one that throws. */
  @Test
  void heartbeatThatThrowsIsFollowedByOthers() {
    CoreContext context = context("host-0");
    AtomicInteger heartbeats = new AtomicInteger();
    Membership members =
        new Membership(
            context,
            () -> {
              if (heartbeats.incrementAndGet() == 3) {
                throw new IllegalStateException("the heartbeat cannot be made");
              }
              return new PeerMessage.Heartbeat(1, false, List.of());
            });
    members.start(hosts(2));
    for (long now = 500; now <= 5_000; now += 500) {
      context.advanceTo(now);
      try {
        context.timers().runDue(now);
      } catch (IllegalStateException e) {
        assertEquals(3, heartbeats.get());
      }
    }

    assertTrue(heartbeats.get() > 3);
  }
}
