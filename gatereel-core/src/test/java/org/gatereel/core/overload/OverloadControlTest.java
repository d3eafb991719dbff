package org.gatereel.core.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
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
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.forward.HostDirectory;
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

/** What one host does with requests, by what it sees and by what others tell. */
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
    targets.see(new HostList(1, List.of(), listed));
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

  /** Has other hosts tell that engines have prompts to read, and what they are asked for. */
  private void othersTell(int readingEach, Map<DemandKey, Double> demand) {
    Map<TargetId, TargetLoad> told = new HashMap<>();
    for (int index = 0; index < TARGETS; index++) {
      told.put(
          new TargetId("e" + index),
          new TargetLoad(readingEach, readingEach, 0, 0, TargetLoad.NEVER));
    }
    loads.take(
        new LoadReport(
            new HostId("h2"),
            ELSEWHERE,
            LoadScope.DATA_CENTRE,
            1,
            ++sequence,
            OptionalLong.empty(),
            told,
            demand));
  }

  private static DemandKey key(ServiceName service, AccountId account) {
    return new DemandKey(service, 1, Optional.of(account));
  }

  private static Map<DemandKey, Double> asked(ServiceName service, double hot, double small) {
    return Map.of(
        DemandKey.allOf(service), hot + small, key(service, HOT), hot, key(service, SMALL), small);
  }

  private Arrival stream(AccountId account) {
    return new Arrival(ENGINES, 1, Optional.of(account), 4_500, context.now() + 25_000);
  }

  private Arrival call(AccountId account) {
    return new Arrival(COUNTERS, 1, Optional.of(account), 200, context.now() + 1_500);
  }

  private void learnCalls() {
    for (int index = 0; index < 20; index++) {
      overload.learn(COUNTERS, 50);
    }
  }

  /** Their queues show nothing, since what is over a limit is not sent there. */
  @Test
  void whereAllTargetsNameLimitsWhatIsOverTheirSumIsRefusedAtOnce() {
    learnCalls();
    limitCounters(TARGETS, 2);
    othersTell(0, asked(COUNTERS, 180, 2));

    int refused = 0;
    for (int index = 0; index < 100; index++) {
      refused += overload.arrive(call(HOT)) instanceof Verdict.Refuse ? 1 : 0;
    }
    Verdict small = overload.arrive(call(SMALL));

    assertTrue(refused >= 80, "refused " + refused);
    assertTrue(small instanceof Verdict.Send, "the small account has its share");
  }

  @Test
  void whereSomeTargetsNameLimitsTheOthersTakeTheRest() {
    learnCalls();
    limitCounters(TARGETS - 1, 0.2);
    othersTell(0, asked(COUNTERS, 90, 2));

    for (int index = 0; index < 20; index++) {
      assertTrue(overload.arrive(call(HOT)) instanceof Verdict.Send);
    }
  }

  @Test
  void aServiceWithRoomFeelsNothingHoweverMuchOneAccountAsksFor() {
    othersTell(1, asked(ENGINES, 9, 0.5));

    for (int index = 0; index < 50; index++) {
      assertInstanceOf(Verdict.Send.class, overload.arrive(stream(HOT)));
      context.advanceTo(context.now() + 1_000);
      othersTell(1, asked(ENGINES, 9, 0.5));
    }
  }

  @Test
  void promptsThatWaitAloneAreNoReasonWhileAskedForIsWhatCanBeDone() {
    othersTell(5, asked(ENGINES, 5, 1));

    assertInstanceOf(Verdict.Send.class, overload.arrive(stream(HOT)));
  }

  @Test
  void anAccountBeyondItsShareWaitsAndTheOthersAreSent() {
    othersTell(4, asked(ENGINES, 90, 2));

    Verdict hot = overload.arrive(stream(HOT));
    assertInstanceOf(Verdict.Wait.class, hot);
    assertTrue(((Verdict.Wait) hot).inputs().contains("share=0.09"), hot.toString());
    assertInstanceOf(Verdict.Send.class, overload.arrive(stream(SMALL)));
  }

  /** What hosts know of the accounts of others is no use to one that hears nobody. */
  @Test
  void aHostThatHearsNobodySendsWhatItSees() {
    assertInstanceOf(Verdict.Send.class, overload.arrive(stream(HOT)));
  }

  @Test
  void whatWaitsIsSentOnceThereIsRoom() {
    othersTell(4, asked(ENGINES, 90, 2));
    Arrival waiting = stream(HOT);
    overload.arrive(waiting);
    assertInstanceOf(Verdict.Wait.class, overload.askAgain(waiting));

    othersTell(0, Map.of());

    assertInstanceOf(Verdict.Send.class, overload.askAgain(waiting));
  }

  @Test
  void ofManyThatWaitAtAllHostsOnlyAsManyAreSentAsThereIsRoomFor() {
    Map<DemandKey, Double> told = new HashMap<>(asked(ENGINES, 90, 2));
    told.put(DemandKey.waitingFor(ENGINES), 79.0);
    othersTell(4, asked(ENGINES, 90, 2));
    Arrival waiting = stream(HOT);
    assertInstanceOf(Verdict.Wait.class, overload.arrive(waiting));
    // Room for 22 prompts, of which others have 10; 80 wait in all.
    othersTell(1, told);

    int sent = 0;
    for (int index = 0; index < 1_000; index++) {
      sent += overload.askAgain(waiting) instanceof Verdict.Send ? 1 : 0;
    }

    assertTrue(sent > 100 && sent < 220, "sent: " + sent);
  }

  @Test
  void moreThanCanBeDoneInTimeIsRefusedBeforeItHasWaited() {
    Map<DemandKey, Double> told = new HashMap<>(asked(ENGINES, 90, 2));
    told.put(DemandKey.waitingFor(ENGINES), 100.0);
    othersTell(4, told);

    Verdict verdict = overload.arrive(stream(HOT));

    assertInstanceOf(Verdict.Refuse.class, verdict);
    long retryAfter = ((Verdict.Refuse) verdict).retryAfterMillis();
    assertTrue(retryAfter >= 500 && retryAfter <= 8_000, "retry after: " + retryAfter);
  }

  @Test
  void whatHasWaitedUntilTooLittleTimeIsLeftIsRefused() {
    othersTell(4, asked(ENGINES, 90, 2));
    Arrival waiting = stream(HOT);
    overload.arrive(waiting);
    context.advanceTo(context.now() + 16_000);
    othersTell(4, asked(ENGINES, 90, 2));

    assertInstanceOf(Verdict.Refuse.class, overload.askAgain(waiting));
  }

  @Test
  void aCallBeyondItsShareIsRefusedAtOnceWhileTargetsHaveNoRoom() {
    learnCalls();
    othersTell(0, asked(COUNTERS, 3_000, 10));
    assertInstanceOf(Verdict.Send.class, overload.arrive(call(HOT)));
    TargetState full = targets.find(new TargetId("c3")).orElseThrow();
    targets.failed(full, TargetFailure.FULL);

    Verdict refused = overload.arrive(call(HOT));

    assertInstanceOf(Verdict.Refuse.class, refused);
    assertTrue(((Verdict.Refuse) refused).retryAfterMillis() <= 500);
    assertInstanceOf(Verdict.Send.class, overload.arrive(call(SMALL)));
    context.advanceTo(context.now() + 1_001);
    othersTell(0, asked(COUNTERS, 3_000, 10));
    assertInstanceOf(Verdict.Send.class, overload.arrive(call(HOT)));
  }

  @Test
  void anAccountBeyondItsShareIsServedInProportionToIt() {
    learnCalls();
    othersTell(0, asked(COUNTERS, 2_390, 10));
    targets.failed(targets.find(new TargetId("c3")).orElseThrow(), TargetFailure.FULL);

    int sent = 0;
    for (int index = 0; index < 200; index++) {
      sent += overload.arrive(call(HOT)) instanceof Verdict.Send ? 1 : 0;
    }

    // 1,200 a second can be done, and 10 are others'.
    assertTrue(sent >= 80 && sent <= 105, "sent: " + sent);
  }

  @Test
  void theShortestOfTheFirstCallsTellsWhatCanBeDone() {
    UsualWork work = new UsualWork();
    work.learn(90);
    work.learn(44);
    work.learn(300);

    assertEquals(44, work.millis());
  }

  @Test
  void refusedCallersAreSpreadOverMoreTimeTheMoreTheyAre() {
    ReturnTimes times = new ReturnTimes(new SplittableRandom(3));
    long latestOfFew = 0;
    long latestOfMany = 0;
    for (int index = 0; index < 200; index++) {
      latestOfFew = Math.max(latestOfFew, times.millis(1, 60_000));
      latestOfMany = Math.max(latestOfMany, times.millis(5, 60_000));
    }

    assertTrue(latestOfFew <= 1_500, "few: " + latestOfFew);
    assertTrue(latestOfMany > 4_000 && latestOfMany <= 5_500, "many: " + latestOfMany);
    assertTrue(times.millis(9, 300) <= 100);
  }

  /** What a service can do shrinks with the word of a target, and grows again with its end. */
  @Test
  void aTargetThatRestsCountsNothingUntilItsEnd() {
    learnCalls();
    othersTell(0, asked(COUNTERS, 900, 10));
    targets.failed(targets.find(new TargetId("c9")).orElseThrow(), TargetFailure.RESTING);
    for (int index = 0; index < TARGETS / 2; index++) {
      resting.add(new TargetId("c" + index));
    }
    assertInstanceOf(Verdict.Refuse.class, refusedAfterItsShare());

    resting.clear();

    assertInstanceOf(Verdict.Send.class, overload.arrive(call(HOT)));
  }

  /** An account that is beyond its share has saved little, which is used up first. */
  private Verdict refusedAfterItsShare() {
    Verdict verdict = overload.arrive(call(HOT));
    for (int index = 0; index < 100 && verdict instanceof Verdict.Send; index++) {
      verdict = overload.arrive(call(HOT));
    }
    return verdict;
  }
}
