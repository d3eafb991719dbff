package org.gatereel.core.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import org.gatereel.core.document.HostDirectory;
import org.gatereel.core.estimate.RequestSize;
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
import org.gatereel.core.scheduling.Urgency;
import org.gatereel.core.table.PolicyTable;
import org.gatereel.core.target.TargetRegistry;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Admission by urgency at one host, which hears of the others by reports. */
class UrgencyAdmissionTest {
  private static final ServiceName ENGINES = new ServiceName("engines");
  private static final Address ELSEWHERE = new Address("10.0.9.9", 7_200);
  private static final int TARGETS = 20;
  private static final int URGENT = 0;
  private static final int ROUTINE = 1;

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
  private final OverloadControl overload =
      new OverloadControl(
          context, targets, loads, target -> Double.POSITIVE_INFINITY, target -> false);
  private long sequence;

  @BeforeEach
  void listTargets() {
    context.advanceTo(1_000_000);
    List<TargetDescription> listed = new ArrayList<>();
    for (int index = 0; index < TARGETS; index++) {
      listed.add(
          new TargetDescription(
              new TargetId("e" + index),
              TargetKind.ENGINE,
              ENGINES,
              new DataCentre("north"),
              new Address("10.0.0." + index, 80),
              6,
              LifeState.LIVE));
    }
    targets.applyList(new HostList(1, List.of(), listed));
  }

  /** Receives a report of another host with prompts at the first engines and waiting requests. */
  private void receiveReport(int promptsAtEach, int engines, Map<DemandKey, Double> demand) {
    Map<TargetId, TargetLoad> reported = new HashMap<>();
    for (int index = 0; index < engines; index++) {
      reported.put(
          new TargetId("e" + index),
          new TargetLoad(promptsAtEach, promptsAtEach, 0, 0, TargetLoad.NEVER));
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

  private ArrivingRequest stream(int rank, String account, long objectiveMillis) {
    return new ArrivingRequest(
        ENGINES,
        rank,
        Optional.of(new AccountId(account)),
        objectiveMillis,
        context.now() + 25_000,
        context.now(),
        new Urgency(rank, 2),
        new RequestSize(8_000, 0));
  }

  private int sentOf(ArrivingRequest waiting, int draws) {
    int sent = 0;
    for (int index = 0; index < draws; index++) {
      sent += overload.decideWaiting(waiting) instanceof OverloadDecision.Send ? 1 : 0;
    }
    return sent;
  }

  /** Routine streams taking the few free places while urgent ones wait at another host. */
  @Test
  void placesGoToUrgentRequestsOfOtherHostsFirst() {
    receiveReport(1, TARGETS - 3, Map.of(DemandKey.waitingFor(ENGINES, URGENT), 3.0));
    ArrivingRequest routine = stream(ROUTINE, "a", 10_000);

    assertInstanceOf(OverloadDecision.Wait.class, overload.decide(routine));
    assertEquals(0, sentOf(routine, 100));

    receiveReport(1, TARGETS - 3, Map.of());
    assertTrue(sentOf(routine, 100) > 0);
  }

  /** Urgent streams waiting for places that only routine ones are kept from. */
  @Test
  void urgentRequestsAreSentWhileRoutineOnesWait() {
    receiveReport(1, TARGETS, Map.of(DemandKey.waitingFor(ENGINES, ROUTINE), 30.0));

    assertInstanceOf(OverloadDecision.Wait.class, overload.decide(stream(ROUTINE, "a", 10_000)));
    assertInstanceOf(OverloadDecision.Send.class, overload.decide(stream(URGENT, "a", 4_000)));
  }

  /** A place going to the request that happens to be checked, not to the one that is due first. */
  @Test
  void aDrawnPlaceGoesToTheRequestWithTheLeastSlack() {
    receiveReport(2, TARGETS, Map.of());
    List<String> turns = new ArrayList<>();
    ArrivingRequest late = stream(ROUTINE, "a", 10_000);
    ArrivingRequest soon = stream(ROUTINE, "b", 6_000);
    assertInstanceOf(OverloadDecision.Wait.class, overload.decide(late, () -> turns.add("late")));
    assertInstanceOf(OverloadDecision.Wait.class, overload.decide(soon, () -> turns.add("soon")));
    receiveReport(0, 0, Map.of());

    assertInstanceOf(OverloadDecision.Wait.class, overload.decideWaiting(late));
    context.timers().runDue(context.now());

    assertEquals(List.of("soon"), turns);
    assertInstanceOf(OverloadDecision.Send.class, overload.decideWaiting(soon));
  }

  /** Requests refused or held for a place, while a failing engine may work again at any moment. */
  @Test
  void requestsAreSentWhileNoEngineIsUsable() {
    receiveReport(2, TARGETS, Map.of());
    ArrivingRequest waiting = stream(ROUTINE, "a", 10_000);
    assertInstanceOf(OverloadDecision.Wait.class, overload.decide(waiting));

    targets.all().forEach(target -> targets.recordFailure(target, TargetFailure.TIMEOUT));

    assertInstanceOf(OverloadDecision.Send.class, overload.decideWaiting(waiting));
    assertInstanceOf(OverloadDecision.Send.class, overload.decide(stream(ROUTINE, "b", 10_000)));
  }

  /** One account with many waiting requests taking every place before the others. */
  @Test
  void accountsOfOneUrgencyTakeTurns() {
    WaitingLine line = new WaitingLine();
    ArrivingRequest first = stream(ROUTINE, "hot", 10_000);
    ArrivingRequest second = stream(ROUTINE, "hot", 10_050);
    ArrivingRequest other = stream(ROUTINE, "small", 10_100);
    List.of(first, second, other).forEach(request -> line.add(request, () -> {}));

    line.admit(
        line.first(ENGINES, ROUTINE, any -> ROUTINE, context.now()).orElseThrow(), context.now());

    assertTrue(line.isAdmitted(first));
    assertEquals(Optional.of(other), line.first(ENGINES, ROUTINE, any -> ROUTINE, context.now()));
  }

  /** A routine stream passed over for as long as urgent ones keep coming. */
  @Test
  void aRequestThatWaitedForMostOfItsTimeGetsAShareOfThePlaces() {
    Map<DemandKey, Double> urgentWaiting = Map.of(DemandKey.waitingFor(ENGINES, URGENT), 200.0);
    receiveReport(1, TARGETS, urgentWaiting);
    ArrivingRequest routine = stream(ROUTINE, "a", 10_000);
    assertInstanceOf(OverloadDecision.Wait.class, overload.decide(routine));
    assertEquals(0, sentOf(routine, 100));

    context.advanceTo(context.now() + 8_000);
    receiveReport(1, TARGETS, urgentWaiting);

    assertTrue(sentOf(routine, 100) > 0);
  }

  /** A stream kept waiting that must be refused later, with less time left to come back. */
  @Test
  void whatCannotBeWholeBeforeItsDeadlineIsRefusedAtOnce() {
    receiveReport(2, TARGETS, Map.of(DemandKey.waitingFor(ENGINES, ROUTINE), 400.0));
    ArrivingRequest routine = stream(ROUTINE, "a", 10_000);

    OverloadDecision decision = overload.decide(routine);

    assertInstanceOf(OverloadDecision.Reject.class, decision);
    long retryAfter = ((OverloadDecision.Reject) decision).retryAfterMillis();
    assertTrue(retryAfter >= 5_000 && retryAfter <= 25_000 / 3, "retry after: " + retryAfter);
    assertEquals(0, overload.waitingCount());
  }

  /** Two hosts that both take the last free place. */
  @Test
  void ofTheRequestsAtTwoHostsAboutAsManyAreSentAsThereArePlaces() {
    receiveReport(2, TARGETS, Map.of());
    ArrivingRequest routine = stream(ROUTINE, "a", 10_000);
    assertInstanceOf(OverloadDecision.Wait.class, overload.decide(routine));
    receiveReport(1, TARGETS - 1, Map.of(DemandKey.waitingFor(ENGINES, ROUTINE), 1.0));

    int sent = 0;
    for (int round = 0; round < 200; round++) {
      ArrivingRequest next = stream(ROUTINE, "b" + round, 10_000);
      sent += overload.decide(next) instanceof OverloadDecision.Send ? 1 : 0;
      overload.endWaiting(next);
    }

    assertTrue(sent < 100, "sent: " + sent);
  }

  /** Routine streams queued at the engines that urgent ones would find free. */
  @Test
  void routineRequestsKeepOffTheEnginesOfUrgentOnes() {
    receiveReport(0, 0, Map.of(DemandKey.ofRank(ENGINES, URGENT), 2.0));
    Set<TargetId> keptFree = overload.reservedTargets(stream(ROUTINE, "a", 10_000));
    Set<TargetId> notForUrgent = overload.reservedTargets(stream(URGENT, "a", 4_000));

    assertEquals(6, keptFree.size());
    assertEquals(TARGETS - keptFree.size(), notForUrgent.size());
    assertFalse(notForUrgent.stream().anyMatch(keptFree::contains));
  }
}
