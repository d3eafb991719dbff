package org.gatereel.core.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import org.gatereel.core.document.HostDirectory;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.load.DemandKey;
import org.gatereel.core.load.LoadExchange;
import org.gatereel.core.load.LoadReport;
import org.gatereel.core.load.LoadScope;
import org.gatereel.core.load.TargetLoad;
import org.gatereel.core.model.AccountId;
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
import org.gatereel.core.target.TargetState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Decisions of one host, from its own demand and from the reports of others. */
class OverloadControlTest {
  private static final ServiceName ENGINES = new ServiceName("engines");
  private static final ServiceName COUNTERS = new ServiceName("counters");
  private static final Address ELSEWHERE = new Address("10.0.9.9", 7_200);
  private static final AccountId HOT = new AccountId("hot");
  private static final AccountId SMALL = new AccountId("small");
  private static final int TARGETS = 10;

  private final CoreContext context =
      new CoreContext(new HostId("h1"), new DataCentre("north"), new SplittableRandom(1));
  private final TargetRegistry targets = new TargetRegistry(context, new PolicyTable());
  private final LoadExchange loads =
      new LoadExchange(
          context,
          targets,
          new HostDirectory(context, ELSEWHERE),
          ELSEWHERE,
          (to, report, receipt) -> {});
  private final Set<TargetId> resting = new HashSet<>();
  private final OverloadControl overload =
      new OverloadControl(context, targets, loads, this::limit, resting::contains);
  private final Map<TargetId, Double> limits = new HashMap<>();
  private long sequence;

  private double limit(TargetId target) {
    return limits.getOrDefault(target, Double.POSITIVE_INFINITY);
  }

  private void limitCounters(int count, double perSecond) {
    for (int index = 0; index < count; index++) {
      limits.put(new TargetId("c" + index), perSecond);
    }
  }

  @BeforeEach
  void listTargets() {
    context.advanceTo(1_000_000);
    List<TargetDescription> listed = new ArrayList<>();
    for (int index = 0; index < TARGETS; index++) {
      listed.add(target("e" + index, TargetKind.ENGINE, ENGINES, index));
      listed.add(target("c" + index, TargetKind.PLAIN_SERVICE, COUNTERS, TARGETS + index));
    }
    targets.applyList(new HostList(1, List.of(), listed));
  }

  private static TargetDescription target(
      String id, TargetKind kind, ServiceName service, int number) {
    return new TargetDescription(
        new TargetId(id),
        kind,
        service,
        new DataCentre("north"),
        new Address("10.0.0." + number, 80),
        6,
        LifeState.LIVE);
  }

  /** Receives a report of another host with unread prompts at engines and its demand. */
  private void receiveReport(int readingPerEngine, Map<DemandKey, Double> demand) {
    Map<TargetId, TargetLoad> reported = new HashMap<>();
    for (int index = 0; index < TARGETS; index++) {
      reported.put(
          new TargetId("e" + index),
          new TargetLoad(readingPerEngine, readingPerEngine, 0, 0, TargetLoad.NEVER));
    }
    loads.receive(
        new LoadReport(
            new HostId("h2"),
            ELSEWHERE,
            LoadScope.DATA_CENTRE,
            1,
            ++sequence,
            OptionalLong.empty(),
            reported,
            demand));
  }

  private static DemandKey key(ServiceName service, AccountId account) {
    return new DemandKey(service, 1, Optional.of(account));
  }

  private static Map<DemandKey, Double> demand(ServiceName service, double hot, double small) {
    return Map.of(
        DemandKey.allOf(service), hot + small, key(service, HOT), hot, key(service, SMALL), small);
  }

  private ArrivingRequest stream(AccountId account) {
    return new ArrivingRequest(ENGINES, 1, Optional.of(account), 4_500, context.now() + 25_000);
  }

  private ArrivingRequest call(AccountId account) {
    return new ArrivingRequest(COUNTERS, 1, Optional.of(account), 200, context.now() + 1_500);
  }

  private void recordCalls() {
    for (int index = 0; index < 20; index++) {
      overload.recordServiceTime(COUNTERS, 50);
    }
  }

  @Test
  void requestsAboveTheSumOfAllTargetLimitsAreRejectedAtOnce() {
    recordCalls();
    limitCounters(TARGETS, 2);
    receiveReport(0, demand(COUNTERS, 180, 2));

    int rejected = 0;
    for (int index = 0; index < 100; index++) {
      rejected += overload.decide(call(HOT)) instanceof OverloadDecision.Reject ? 1 : 0;
    }
    OverloadDecision small = overload.decide(call(SMALL));

    assertTrue(rejected >= 80, "rejected " + rejected);
    assertTrue(small instanceof OverloadDecision.Send, "the small account has its share");
  }

  @Test
  void targetsWithoutLimitServeTheRemainingRequests() {
    recordCalls();
    limitCounters(TARGETS - 1, 0.2);
    receiveReport(0, demand(COUNTERS, 90, 2));

    for (int index = 0; index < 20; index++) {
      assertTrue(overload.decide(call(HOT)) instanceof OverloadDecision.Send);
    }
  }

  @Test
  void requestsAreSentWhileTheServiceHasCapacityWhateverOneAccountRequests() {
    receiveReport(1, demand(ENGINES, 9, 0.5));

    for (int index = 0; index < 50; index++) {
      assertInstanceOf(OverloadDecision.Send.class, overload.decide(stream(HOT)));
      context.advanceTo(context.now() + 1_000);
      receiveReport(1, demand(ENGINES, 9, 0.5));
    }
  }

  @Test
  void queuedPromptsAloneAreNoOverloadWhileDemandIsWithinCapacity() {
    receiveReport(5, demand(ENGINES, 5, 1));

    assertInstanceOf(OverloadDecision.Send.class, overload.decide(stream(HOT)));
  }

  @Test
  void requestsOfAnAccountAboveItsShareWaitAndOthersAreSent() {
    receiveReport(4, demand(ENGINES, 90, 2));

    OverloadDecision hot = overload.decide(stream(HOT));
    assertInstanceOf(OverloadDecision.Wait.class, hot);
    assertTrue(((OverloadDecision.Wait) hot).inputs().contains("share=0.09"), hot.toString());
    assertInstanceOf(OverloadDecision.Send.class, overload.decide(stream(SMALL)));
  }

  @Test
  void aHostWithoutReportsOfOthersSendsItsRequests() {
    assertInstanceOf(OverloadDecision.Send.class, overload.decide(stream(HOT)));
  }

  @Test
  void aWaitingRequestIsSentOnceThereIsCapacity() {
    receiveReport(4, demand(ENGINES, 90, 2));
    ArrivingRequest waiting = stream(HOT);
    overload.decide(waiting);
    assertInstanceOf(OverloadDecision.Wait.class, overload.decideWaiting(waiting));

    receiveReport(0, Map.of());

    assertInstanceOf(OverloadDecision.Send.class, overload.decideWaiting(waiting));
  }

  @Test
  void ofTheRequestsWaitingAtAllHostsOnlyAsManyAreSentAsThereIsCapacityFor() {
    Map<DemandKey, Double> reported = new HashMap<>(demand(ENGINES, 90, 2));
    reported.put(DemandKey.waitingFor(ENGINES), 79.0);
    receiveReport(4, demand(ENGINES, 90, 2));
    ArrivingRequest waiting = stream(HOT);
    assertInstanceOf(OverloadDecision.Wait.class, overload.decide(waiting));
    // There is capacity for 22 prompts; 10 are in progress and 80 requests wait.
    receiveReport(1, reported);

    int sent = 0;
    for (int index = 0; index < 1_000; index++) {
      sent += overload.decideWaiting(waiting) instanceof OverloadDecision.Send ? 1 : 0;
    }

    assertTrue(sent > 100 && sent < 220, "sent: " + sent);
  }

  @Test
  void aRequestThatCannotBeServedInTimeIsRejectedWithoutWaiting() {
    Map<DemandKey, Double> reported = new HashMap<>(demand(ENGINES, 90, 2));
    reported.put(DemandKey.waitingFor(ENGINES), 100.0);
    receiveReport(4, reported);

    OverloadDecision decision = overload.decide(stream(HOT));

    assertInstanceOf(OverloadDecision.Reject.class, decision);
    long retryAfter = ((OverloadDecision.Reject) decision).retryAfterMillis();
    assertTrue(retryAfter >= 500 && retryAfter <= 8_000, "retry after: " + retryAfter);
  }

  @Test
  void aWaitingRequestWithTooLittleTimeLeftIsRejected() {
    receiveReport(4, demand(ENGINES, 90, 2));
    ArrivingRequest waiting = stream(HOT);
    overload.decide(waiting);
    context.advanceTo(context.now() + 16_000);
    receiveReport(4, demand(ENGINES, 90, 2));

    assertInstanceOf(OverloadDecision.Reject.class, overload.decideWaiting(waiting));
  }

  @Test
  void aCallAboveItsShareIsRejectedAtOnceWhileTargetsAreFull() {
    recordCalls();
    receiveReport(0, demand(COUNTERS, 3_000, 10));
    assertInstanceOf(OverloadDecision.Send.class, overload.decide(call(HOT)));
    TargetState full = targets.find(new TargetId("c3")).orElseThrow();
    targets.recordFailure(full, TargetFailure.FULL);

    OverloadDecision rejected = overload.decide(call(HOT));

    assertInstanceOf(OverloadDecision.Reject.class, rejected);
    assertTrue(((OverloadDecision.Reject) rejected).retryAfterMillis() <= 500);
    assertInstanceOf(OverloadDecision.Send.class, overload.decide(call(SMALL)));
    context.advanceTo(context.now() + 1_001);
    receiveReport(0, demand(COUNTERS, 3_000, 10));
    assertInstanceOf(OverloadDecision.Send.class, overload.decide(call(HOT)));
  }

  /** Guards against hosts that send to full targets because only other hosts were rejected. */
  @Test
  void aCallAboveItsShareIsRejectedWhileTargetsAreFullForOtherHosts() {
    recordCalls();
    Map<DemandKey, Double> reported = new HashMap<>(demand(COUNTERS, 3_000, 10));
    reported.put(DemandKey.fullAt(COUNTERS), 1.0);
    receiveReport(0, reported);

    assertInstanceOf(OverloadDecision.Reject.class, overload.decide(call(HOT)));
    assertInstanceOf(OverloadDecision.Send.class, overload.decide(call(SMALL)));
  }

  @Test
  void aRejectionByAFullTargetIsReportedForASecond() {
    OverallDemand demand = new OverallDemand(context, targets, loads);
    demand.count(key(COUNTERS, HOT));
    targets.recordFailure(targets.find(new TargetId("c3")).orElseThrow(), TargetFailure.FULL);

    assertEquals(1, demand.toReport(any -> true).get(DemandKey.fullAt(COUNTERS)));
    context.advanceTo(context.now() + 1_001);
    assertFalse(demand.toReport(any -> true).containsKey(DemandKey.fullAt(COUNTERS)));
  }

  @Test
  void anAccountAboveItsShareIsServedUpToIt() {
    recordCalls();
    receiveReport(0, demand(COUNTERS, 2_390, 10));
    targets.recordFailure(targets.find(new TargetId("c3")).orElseThrow(), TargetFailure.FULL);

    int sent = 0;
    for (int index = 0; index < 200; index++) {
      sent += overload.decide(call(HOT)) instanceof OverloadDecision.Send ? 1 : 0;
    }

    // The capacity is 1,200 per second, of which 10 are served to the other account.
    assertTrue(sent >= 80 && sent <= 105, "sent: " + sent);
  }

  @Test
  void theServiceTimeEstimateIsTheShortestOfTheFirstCalls() {
    ServiceTimeEstimate work = new ServiceTimeEstimate();
    work.record(90);
    work.record(44);
    work.record(300);

    assertEquals(44, work.millis());
  }

  @Test
  void retryDelaysAreSpreadOverMoreTimeTheLargerTheOverload() {
    RetryDelays times = new RetryDelays(new SplittableRandom(3));
    long latestOfSmall = 0;
    long latestOfLarge = 0;
    for (int index = 0; index < 200; index++) {
      latestOfSmall = Math.max(latestOfSmall, times.drawMillis(1, 60_000));
      latestOfLarge = Math.max(latestOfLarge, times.drawMillis(5, 60_000));
    }

    assertTrue(latestOfSmall <= 1_500, "small overload: " + latestOfSmall);
    assertTrue(latestOfLarge > 4_000 && latestOfLarge <= 5_500, "large overload: " + latestOfLarge);
    assertTrue(times.drawMillis(9, 300) <= 100);
  }

  @Test
  void restingTargetsDoNotCountAsCapacity() {
    recordCalls();
    receiveReport(0, demand(COUNTERS, 900, 10));
    targets.recordFailure(targets.find(new TargetId("c9")).orElseThrow(), TargetFailure.RESTING);
    for (int index = 0; index < TARGETS / 2; index++) {
      resting.add(new TargetId("c" + index));
    }
    assertInstanceOf(OverloadDecision.Reject.class, decideUntilRejected());

    resting.clear();

    assertInstanceOf(OverloadDecision.Send.class, overload.decide(call(HOT)));
  }

  /** Guards against streams that wait until their deadline for a service without engines. */
  @Test
  void waitingStreamIsDecidedOnceServiceHasNoTargets() {
    receiveReport(4, demand(ENGINES, 90, 2));
    ArrivingRequest waiting = stream(HOT);
    assertInstanceOf(OverloadDecision.Wait.class, overload.decide(waiting));

    targets.applyList(new HostList(2, List.of(), List.of()));

    assertInstanceOf(OverloadDecision.Send.class, overload.decideWaiting(waiting));
  }

  /** Sends until the credits of the account are used up. */
  private OverloadDecision decideUntilRejected() {
    OverloadDecision decision = overload.decide(call(HOT));
    for (int index = 0; index < 100 && decision instanceof OverloadDecision.Send; index++) {
      decision = overload.decide(call(HOT));
    }
    return decision;
  }
}
