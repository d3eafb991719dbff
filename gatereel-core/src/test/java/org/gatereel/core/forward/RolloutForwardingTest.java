package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.gatereel.core.document.HostDirectory;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.limit.TokenGrant;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostList;
import org.gatereel.core.model.LifeState;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.model.TargetKind;
import org.gatereel.core.rollout.EvidenceKey;
import org.gatereel.core.rollout.ResponseTally;
import org.gatereel.core.rollout.RolloutOrder;
import org.gatereel.core.rollout.RolloutRecord;
import org.gatereel.core.rollout.RolloutState;
import org.gatereel.core.rollout.Signal;
import org.junit.jupiter.api.Test;

/** Routing of requests, retries and continuations during a rollout. */
class RolloutForwardingTest {
  private static final long DURATION_MILLIS = 60_000;
  private static final long STORE_MILLIS = 7_000_000;
  private static final int REQUESTS = 400;

  private final ForwardWorld world = new ForwardWorld();

  private static TargetDescription target(String id, ServiceName service, String version) {
    return new TargetDescription(
        new TargetId(id),
        service.equals(ForwardWorld.ENGINES) ? TargetKind.ENGINE : TargetKind.PLAIN_SERVICE,
        service,
        new DataCentre("north"),
        new Address("10.0.9." + (id.hashCode() & 0xff), 80),
        100_000,
        LifeState.LIVE,
        version);
  }

  private void list(ServiceName service, String... ids) {
    List<TargetDescription> targets = new ArrayList<>();
    for (String id : ids) {
      targets.add(target(id, service, id.startsWith("new") ? "v2" : "v1"));
    }
    HostList list = new HostList(world.context.now(), List.of(), targets);
    world.rollouts.updateTargets(list);
    world.targets.applyList(list);
  }

  private void order(ServiceName service, RolloutState state) {
    long now = world.context.nowIncludingSuspensions();
    world.rollouts.updateOrders(List.of(new RolloutOrder(service, "v2", DURATION_MILLIS, 5)), now);
    world.rollouts.updateRecords(
        List.of(new RolloutRecord(service, "v2", 5, STORE_MILLIS, DURATION_MILLIS, state, 9)),
        STORE_MILLIS,
        now);
  }

  private int countSentToNewVersion(int from) {
    return (int)
        world.sentCalls.subList(from, world.sentCalls.size()).stream()
            .filter(call -> call.target().startsWith("new"))
            .count();
  }

  /**
   * The version may have been rolled back, or its targets may be leaving, during the suspension.
   */
  @Test
  void newVersionReceivesNothingAfterSuspensionUntilRecordIsRead() {
    list(ForwardWorld.COUNTERS, "old1", "old2");
    order(ForwardWorld.COUNTERS, RolloutState.RUNNING);
    list(ForwardWorld.COUNTERS, "old1", "old2", "new1", "new2", "new3");
    world.context.recordSuspension(3_000);

    for (int request = 0; request < REQUESTS; request++) {
      world.submit("/safe/x", new ForwardWorld.Caller());
    }

    assertEquals(0, countSentToNewVersion(0));
  }

  /** Guards against sending to a version whose rollback precedes the arrival of a token. */
  @Test
  void versionRolledBackDuringTokenWaitReceivesNothing() {
    list(ForwardWorld.COUNTERS, "old1");
    order(ForwardWorld.COUNTERS, RolloutState.RUNNING);
    list(ForwardWorld.COUNTERS, "old1", "new1", "new2", "new3");
    listAnotherHost();
    for (String target : new String[] {"new1", "new2", "new3"}) {
      world.forwarder.limits().announced().observe(new TargetId(target), 5, 0);
    }
    while (world.tokenRequests.isEmpty()) {
      world.submit("/safe/x", new ForwardWorld.Caller());
    }
    int before = world.sentCalls.size();
    world.advanceTime(5);
    order(ForwardWorld.COUNTERS, RolloutState.ROLLED_BACK);

    world.tokenRequests.get(0).response().accept(Optional.of(new TokenGrant(1, 0)));

    assertEquals(before + 1, world.sentCalls.size());
    assertEquals("old1", world.lastCall().target());
  }

  private void listAnotherHost() {
    Address address = new Address("10.0.2.1", 7);
    for (int reading = 0; reading < 3; reading++) {
      world.directory.update(
          List.of(new HostDirectory.Entry("peer", new DataCentre("north"), address, 0)), 0);
    }
  }

  @Test
  void canaryReceivesSmallRatioOfRequests() {
    list(ForwardWorld.COUNTERS, "old1", "old2");
    order(ForwardWorld.COUNTERS, RolloutState.RUNNING);
    list(ForwardWorld.COUNTERS, "old1", "old2", "new1", "new2", "new3");

    for (int request = 0; request < REQUESTS; request++) {
      world.submit("/safe/x", new ForwardWorld.Caller());
      world.lastCall().respond(200, "ok");
    }

    int canaryRequests = countSentToNewVersion(0);
    assertTrue(
        canaryRequests >= REQUESTS / 50 && canaryRequests <= REQUESTS / 20,
        "requests sent to the new version: " + canaryRequests);
  }

  @Test
  void retriesAreNotSentToCanary() {
    list(ForwardWorld.COUNTERS, "old1", "old2");
    order(ForwardWorld.COUNTERS, RolloutState.RUNNING);
    list(ForwardWorld.COUNTERS, "old1", "old2", "new1", "new2", "new3");

    for (int request = 0; request < REQUESTS; request++) {
      int before = world.sentCalls.size();
      world.submit("/safe/x", new ForwardWorld.Caller());
      world.lastCall().respond(500, "error");
      if (world.sentCalls.size() > before + 1) {
        assertEquals(0, countSentToNewVersion(before + 1));
        world.lastCall().respond(200, "ok");
      }
    }
  }

  @Test
  void streamInterruptedAtCanaryContinuesAtPreviousVersion() {
    list(ForwardWorld.ENGINES, "old1", "old2");
    order(ForwardWorld.ENGINES, RolloutState.RUNNING);
    list(ForwardWorld.ENGINES, "old1", "old2", "new1", "new2", "new3");

    int interrupted = 0;
    for (int request = 0; request < REQUESTS; request++) {
      Optional<Exchange> exchange = world.submit("/stream/x", new ForwardWorld.Caller());
      ForwardWorld.SentCall first = world.lastCall();
      if (first.target().startsWith("new")) {
        int before = world.sentCalls.size();
        first.accept().respondHead(200, true).event(1);
        world.fail(first, TargetFailure.RESET);
        assertEquals(before + 1, world.sentCalls.size());
        assertEquals(0, countSentToNewVersion(before));
        interrupted++;
      }
      exchange.ifPresent(Exchange::onCallerDisconnected);
    }
    assertTrue(interrupted > 0);
  }

  @Test
  void resumedStreamsAreNotSentToCanary() {
    list(ForwardWorld.ENGINES, "old1");
    order(ForwardWorld.ENGINES, RolloutState.RUNNING);
    list(ForwardWorld.ENGINES, "old1", "new1", "new2");
    world.lastEventId = OptionalLong.of(3);

    for (int request = 0; request < REQUESTS; request++) {
      world.submit("/stream/x", new ForwardWorld.Caller());
    }

    assertEquals(0, countSentToNewVersion(0));
  }

  @Test
  void rolledBackVersionReceivesNothingEvenIfNoOtherIsAvailable() {
    list(ForwardWorld.COUNTERS, "old1");
    order(ForwardWorld.COUNTERS, RolloutState.ROLLED_BACK);
    list(ForwardWorld.COUNTERS, "new1");

    ForwardWorld.Caller caller = new ForwardWorld.Caller();
    world.submit("/safe/x", caller);

    assertEquals(0, world.sentCalls.size());
    assertEquals(Rejection.NO_TARGET, caller.rejection);
  }

  /** Otherwise the whole service would be rejected until the rollout is completed. */
  @Test
  void orderForActiveVersionDoesNotRemoveItFromService() {
    list(ForwardWorld.COUNTERS, "new1", "new2");
    order(ForwardWorld.COUNTERS, RolloutState.RUNNING);

    world.submit("/safe/x", new ForwardWorld.Caller());

    assertEquals(1, countSentToNewVersion(0));
  }

  /**
   * Guards against considering only the latest order, which would return a rolled-back version to
   * service.
   */
  @Test
  void rolledBackVersionStaysExcludedDuringNextRollout() {
    for (RolloutState state : new RolloutState[] {RolloutState.ROLLED_BACK, RolloutState.RUNNING}) {
      ForwardWorld fresh = new ForwardWorld();
      HostList list =
          new HostList(
              fresh.context.now(),
              List.of(),
              List.of(
                  target("old1", ForwardWorld.COUNTERS, "v1"),
                  target("new1", ForwardWorld.COUNTERS, "v2"),
                  target("new2", ForwardWorld.COUNTERS, "v3")));
      fresh.rollouts.updateTargets(list);
      fresh.targets.applyList(list);
      long now = fresh.context.now();
      fresh.rollouts.updateOrders(
          List.of(new RolloutOrder(ForwardWorld.COUNTERS, "v2", DURATION_MILLIS, 5)), now);
      fresh.rollouts.updateRecords(
          List.of(
              new RolloutRecord(
                  ForwardWorld.COUNTERS, "v2", 5, STORE_MILLIS, DURATION_MILLIS, state, 9)),
          STORE_MILLIS,
          now);
      fresh.rollouts.updateOrders(
          List.of(new RolloutOrder(ForwardWorld.COUNTERS, "v3", DURATION_MILLIS, 10)), now);

      for (int request = 0; request < 20; request++) {
        fresh.submit("/safe/x", new ForwardWorld.Caller());
        assertEquals("old1", fresh.lastCall().target(), state.name());
        fresh.lastCall().respond(200, "ok");
      }
    }
  }

  @Test
  void onlyNewVersionReceivesRequestsAfterCompletion() {
    list(ForwardWorld.COUNTERS, "old1");
    order(ForwardWorld.COUNTERS, RolloutState.COMPLETED);
    list(ForwardWorld.COUNTERS, "old1", "old2", "new1");

    for (int request = 0; request < 20; request++) {
      world.submit("/safe/x", new ForwardWorld.Caller());
    }

    assertEquals(20, countSentToNewVersion(0));
  }

  @Test
  void evidenceIsCountedOncePerSignal() {
    list(ForwardWorld.ENGINES, "old1");
    order(ForwardWorld.ENGINES, RolloutState.RUNNING);
    world.submit("/stream/x", new ForwardWorld.Caller());
    ForwardWorld.SentCall call = world.lastCall().accept().respondHead(200, true);
    for (int event = 1; event <= 40; event++) {
      world.advanceTime(10);
      call.event(event);
      call.text("");
    }

    Map<EvidenceKey, ResponseTally> counted = world.rollouts.ownEvidence();
    for (Signal signal : new Signal[] {Signal.SENT, Signal.FIRST_EVENT, Signal.EVENT_GAP}) {
      EvidenceKey key = new EvidenceKey(ForwardWorld.ENGINES, 5, "route/stream/", signal, false);
      assertEquals(1, counted.getOrDefault(key, ResponseTally.NONE).responses(), signal.toString());
    }
  }

  @Test
  void failedConnectionsAreNotEvidenceAgainstVersion() {
    list(ForwardWorld.COUNTERS, "old1");
    order(ForwardWorld.COUNTERS, RolloutState.RUNNING);
    world.submit("/safe/x", new ForwardWorld.Caller());
    world.lastCall().accept();
    world.fail(world.lastCall(), TargetFailure.RESET);

    assertTrue(
        world.rollouts.ownEvidence().keySet().stream()
            .allMatch(key -> key.signal() == Signal.SENT));
  }

  @Test
  void versionWithoutOrderReceivesNothingUntilOrdersAreConfirmed() {
    list(ForwardWorld.COUNTERS, "old1");
    world.rollouts.confirmOrders(world.context.now());
    world.advanceTime(10);
    list(ForwardWorld.COUNTERS, "new1");
    ForwardWorld.Caller early = new ForwardWorld.Caller();
    world.submit("/safe/x", early);
    assertEquals(0, world.sentCalls.size());

    world.advanceTime(10);
    world.rollouts.confirmOrders(world.context.now());
    world.submit("/safe/x", new ForwardWorld.Caller());

    assertEquals(1, countSentToNewVersion(0));
  }
}
