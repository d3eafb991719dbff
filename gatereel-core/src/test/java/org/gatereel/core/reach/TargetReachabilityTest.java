package org.gatereel.core.reach;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.load.TargetLoad;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.HostList;
import org.gatereel.core.model.LifeState;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.model.TargetKind;
import org.gatereel.core.table.PolicyTable;
import org.gatereel.core.target.TargetRegistry;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against taking a failure of this host's own links for a failure of targets. */
class TargetReachabilityTest {
  private static final DataCentre NORTH = new DataCentre("north");
  private static final DataCentre SOUTH = new DataCentre("south");
  private static final TargetId FIRST = new TargetId("i-1");
  private static final TargetId SECOND = new TargetId("i-2");
  private static final Address LOCAL_PEER = new Address("127.0.0.2", 1);
  private static final Address REMOTE_PEER = new Address("127.0.0.3", 1);

  private final CoreContext context =
      new CoreContext(new HostId("test"), NORTH, new SplittableRandom(1));
  private final List<RelayPeer> peers = new ArrayList<>();
  private final List<TargetId> probed = new ArrayList<>();
  private TargetReachability reachability;
  private Consumer<Boolean> probeCallback;

  @BeforeEach
  void create() {
    TargetRegistry targets = new TargetRegistry(context, new PolicyTable());
    targets.applyList(new HostList(1, List.of(), List.of(target(FIRST), target(SECOND))));
    peers.add(new RelayPeer(LOCAL_PEER, NORTH));
    peers.add(new RelayPeer(REMOTE_PEER, SOUTH));
    reachability = new TargetReachability(context, targets, target -> TargetLoad.NONE, () -> peers);
    reachability.setDirectProbe(
        (target, callback) -> {
          probed.add(target.id());
          probeCallback = callback;
        });
  }

  private static TargetDescription target(TargetId id) {
    return new TargetDescription(
        id,
        TargetKind.ENGINE,
        new ServiceName("engines"),
        NORTH,
        new Address("127.0.0.1", 1),
        1,
        LifeState.LIVE);
  }

  private void advance(long millis) {
    context.advanceTo(context.now() + millis);
    context.timers().runDue(context.now());
  }

  private void losePath(TargetId target) {
    reachability.recordDirect(target, ConnectOutcome.REFUSED, 1);
    reachability.recordRelayed(target, LOCAL_PEER, RelayOutcome.CONNECTED, 2);
  }

  @Test
  void aTargetThatNoHostReachesIsNotRelayed() {
    reachability.recordDirect(FIRST, ConnectOutcome.REFUSED, 1);
    reachability.recordRelayed(FIRST, LOCAL_PEER, RelayOutcome.TARGET_UNREACHABLE, 2);

    assertFalse(reachability.isPathLost(FIRST));
    assertTrue(reachability.isFailureOfTarget(FIRST));
    assertEquals(Optional.empty(), reachability.choosePeer(FIRST, Set.of()));
  }

  @Test
  void failuresAtSeveralTargetsAreNotBlamedOnOneOfThem() {
    reachability.recordDirect(FIRST, ConnectOutcome.REFUSED, 1);
    assertTrue(reachability.isFailureOfTarget(FIRST));

    reachability.recordDirect(SECOND, ConnectOutcome.REFUSED, 1);
    assertFalse(reachability.isFailureOfTarget(FIRST));

    reachability.recordDirect(SECOND, ConnectOutcome.CONNECTED, 1);
    assertTrue(reachability.isFailureOfTarget(FIRST));
  }

  @Test
  void aLostPathIsProbedUntilTheTargetRespondsOverIt() {
    losePath(FIRST);
    advance(500);
    probeCallback.accept(false);
    assertTrue(reachability.isPathLost(FIRST));

    advance(500);
    probeCallback.accept(true);

    assertFalse(reachability.isPathLost(FIRST));
    assertEquals(List.of(FIRST, FIRST), probed);
    advance(5_000);
    assertEquals(2, probed.size());
  }

  @Test
  void onceOnePathWorksAgainTheOthersAreProbedAtOnce() {
    losePath(FIRST);
    losePath(SECOND);
    advance(500);
    probeCallback.accept(true);

    advance(20);

    assertEquals(List.of(FIRST, SECOND), probed);
  }

  @Test
  void aHostDoesNotRelayToATargetWhoseOwnPathIsLost() {
    losePath(FIRST);

    assertEquals(Optional.empty(), reachability.findRelayTarget(FIRST));
    assertTrue(reachability.findRelayTarget(SECOND).isPresent());
    assertEquals(Optional.empty(), reachability.findRelayTarget(new TargetId("i-3")));
  }

  @Test
  void aPeerThatCannotRelayIsNotAskedAgainAtOnce() {
    reachability.recordRelayed(FIRST, LOCAL_PEER, RelayOutcome.UNAVAILABLE, 2);

    assertEquals(Optional.of(REMOTE_PEER), reachability.choosePeer(FIRST, Set.of()));
    assertEquals(Optional.empty(), reachability.choosePeer(FIRST, Set.of(REMOTE_PEER)));
    advance(1_000);
    assertTrue(reachability.choosePeer(FIRST, Set.of(REMOTE_PEER)).isPresent());
  }

  @Test
  void peersElsewhereAreAskedSoonWhereAWholeDataCentreLostItsLinks() {
    for (int number = 0; number < 20; number++) {
      peers.add(new RelayPeer(new Address("127.0.1." + number, 1), NORTH));
    }
    reachability.recordRelayed(FIRST, LOCAL_PEER, RelayOutcome.UNAVAILABLE, 2);

    assertEquals(
        Optional.of(REMOTE_PEER),
        reachability.choosePeer(FIRST, new HashSet<>(Set.of(LOCAL_PEER))));
  }

  @Test
  void relayedConnectionsAreSpreadOverPeers() {
    int[] counts = new int[2];
    for (int number = 0; number < 20; number++) {
      Address peer = reachability.choosePeer(FIRST, Set.of()).orElseThrow();
      reachability.recordRelayed(FIRST, peer, RelayOutcome.CONNECTED, 2);
      counts[peer.equals(LOCAL_PEER) ? 0 : 1]++;
    }

    assertTrue(Math.abs(counts[0] - counts[1]) <= 3, counts[0] + " and " + counts[1]);
  }

  /** Guards against a lost path that stays lost because one probe could not be sent. */
  @Test
  void probeThatThrowsIsFollowedByOthers() {
    reachability.setDirectProbe(
        (target, callback) -> {
          throw new IllegalStateException("the probe cannot be sent");
        });
    losePath(FIRST);
    assertThrows(IllegalStateException.class, () -> advance(500));
    reachability.setDirectProbe((target, callback) -> probed.add(target.id()));

    advance(500);

    assertEquals(List.of(FIRST), probed);
  }
}
