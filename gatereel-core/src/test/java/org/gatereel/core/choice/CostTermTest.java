package org.gatereel.core.choice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
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
import java.util.stream.IntStream;
import org.gatereel.core.document.HostDirectory;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.load.LoadExchange;
import org.gatereel.core.load.LoadReport;
import org.gatereel.core.load.LoadScope;
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
import org.gatereel.core.target.TargetState;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Each cost term alone decides between engines that are otherwise equal. */
class CostTermTest {
  private static final ServiceName ENGINES = new ServiceName("engines");
  private static final Address ELSEWHERE = new Address("10.0.9.9", 7_200);
  private static final int FITTING_REQUESTS = 8;

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
  private final Set<TargetId> backingOffElsewhere = new HashSet<>();
  private final TargetSelector selector =
      new TargetSelector(
          context,
          targets,
          loads,
          new HostCount() {
            @Override
            public int allHosts() {
              return hosts;
            }

            @Override
            public int localHosts() {
              return hosts;
            }
          },
          backingOffElsewhere::contains);
  private final TargetQuery query = new TargetQuery(ENGINES, Optional.empty(), FITTING_REQUESTS);
  private long sequence;
  private int hosts = 6;

  @BeforeEach
  void listEngines() {
    context.advanceTo(1_000_000);
    targets.applyList(
        new HostList(
            1,
            List.of(),
            List.of(engine("n1", "north"), engine("n2", "north"), engine("s1", "south"))));
  }

  private static TargetDescription engine(String id, String dataCentre) {
    return new TargetDescription(
        new TargetId(id),
        TargetKind.ENGINE,
        ENGINES,
        new DataCentre(dataCentre),
        new Address("10.0.0." + id.hashCode() % 200, 80),
        64,
        LifeState.LIVE);
  }

  private TargetState target(String id) {
    return targets.find(new TargetId(id)).orElseThrow();
  }

  private void reportLoadsOfOtherHosts(Map<String, TargetLoad> loadsById) {
    Map<TargetId, TargetLoad> loadsByTarget = new HashMap<>();
    loadsById.forEach((id, load) -> loadsByTarget.put(new TargetId(id), load));
    loads.receive(
        new LoadReport(
            new HostId("h2"),
            ELSEWHERE,
            LoadScope.DATA_CENTRE,
            1,
            ++sequence,
            OptionalLong.empty(),
            loadsByTarget,
            Map.of()));
  }

  private static TargetLoad open(int count) {
    return new TargetLoad(count, 0, 0, 0, TargetLoad.NEVER);
  }

  private TargetChoice choose(TargetQuery asked) {
    return selector.choose(asked, Set.of()).orElseThrow();
  }

  private String chosen() {
    return choose(query).target().description().id().value();
  }

  private String chosenWithout(String id) {
    TargetChoice choice = selector.choose(query, Set.of(new TargetId(id))).orElseThrow();
    return choice.target().description().id().value();
  }

  @Test
  void requestsOfOtherHostsCountLikeOwnRequests() {
    reportLoadsOfOtherHosts(Map.of("n1", open(2)));
    targets.recordOpened(target("n2"));
    targets.recordOpened(target("n2"));
    targets.recordOpened(target("n2"));

    // n1 has two requests of another host, n2 three of this host; s1 is idle but remote.
    assertEquals("s1", chosen());
    reportLoadsOfOtherHosts(Map.of("n1", open(2), "s1", open(2)));
    assertEquals("n1", chosen());
  }

  @Test
  void choosesAmongAllEqualLocalEngines() {
    Set<String> used = new HashSet<>();
    for (int round = 0; round < 50; round++) {
      used.add(chosen());
    }

    assertEquals(Set.of("n1", "n2"), used);
  }

  @Test
  void avoidsEngineThatIsReadingAPrompt() {
    reportLoadsOfOtherHosts(
        Map.of("n1", new TargetLoad(1, 1, 0, 0, TargetLoad.NEVER), "n2", open(1)));
    targets.recordOpened(target("s1"));

    assertEquals("n2", chosen());
  }

  @Test
  void avoidsEngineThatFailedElsewhereUntilReportExpires() {
    reportLoadsOfOtherHosts(
        Map.of("n1", new TargetLoad(0, 0, 0, 0, context.now()), "n2", open(2), "s1", open(2)));
    context.advanceTo(context.now() + 201);
    assertEquals("n2", chosen());
    context.advanceTo(context.now() + 1_400);

    assertEquals("n1", chosen());
  }

  @Test
  void dataReceivedLaterOverridesReportedFailure() {
    reportLoadsOfOtherHosts(
        Map.of("n1", new TargetLoad(0, 0, 0, 0, context.now() - 10), "n2", open(1), "s1", open(1)));
    target("n1").recordDataReceived(context.now());

    assertEquals("n1", chosen());
  }

  @Test
  void avoidsDataCentreWhereMostEnginesFailedElsewhere() {
    targets.applyList(
        new HostList(
            2,
            List.of(),
            List.of(
                engine("n1", "north"),
                engine("n2", "north"),
                engine("n3", "north"),
                engine("s1", "south"))));
    TargetLoad failed = new TargetLoad(0, 0, 0, 0, context.now());
    reportLoadsOfOtherHosts(Map.of("n1", failed, "n2", failed, "s1", open(4)));

    assertEquals("s1", chosen());
  }

  /** All engines of a data centre may end together, so older requests are not a sign of life. */
  @Test
  void failureOverridesOlderRequestsOfOtherHostsInTheDataCentre() {
    targets.recordFailure(target("n1"), TargetFailure.RESET);
    reportLoadsOfOtherHosts(Map.of("n2", open(1), "s1", open(3)));
    assertEquals("s1", chosenWithout("n1"));

    context.advanceTo(context.now() + 201);

    assertEquals("n2", chosenWithout("n1"));
  }

  @Test
  void choosesLocallyFailingEngineOnlyWithoutAlternative() {
    targets.recordFailure(target("n1"), TargetFailure.TIMEOUT);
    targets.recordFailure(target("n2"), TargetFailure.TIMEOUT);
    reportLoadsOfOtherHosts(Map.of("s1", open(FITTING_REQUESTS + 5)));

    assertEquals("s1", chosen());
    assertTrue(selector.choose(query, Set.of(new TargetId("s1"))).isPresent());
  }

  @Test
  void prefersEngineWithCachedPromptUnlessFull() {
    reportLoadsOfOtherHosts(Map.of("s1", open(4)));
    TargetQuery resumed = query.promptCachedAt(new TargetId("s1"));
    assertEquals("s1", choose(resumed).target().description().id().value());
    reportLoadsOfOtherHosts(Map.of("s1", open(FITTING_REQUESTS)));

    assertNotEquals("s1", choose(resumed).target().description().id().value());
  }

  /**
   * Lists 40 engines, of which one is idle; returns the ratio of choices that select the idle one.
   */
  private double ratioOfChoicesOfIdleTarget() {
    List<TargetDescription> many = new ArrayList<>();
    Map<String, TargetLoad> loadsById = new HashMap<>();
    for (int index = 0; index < 40; index++) {
      many.add(engine("m" + index, "north"));
      loadsById.put("m" + index, open(index == 0 ? 0 : 1));
    }
    targets.applyList(new HostList(3, List.of(), many));
    reportLoadsOfOtherHosts(loadsById);
    int rounds = 400;
    long idle = IntStream.range(0, rounds).filter(round -> chosen().equals("m0")).count();
    return (double) idle / rounds;
  }

  @Test
  void fewHostsCompareAllTargets() {
    assertEquals(1.0, ratioOfChoicesOfIdleTarget());
  }

  @Test
  void manyHostsDoNotAllChooseTheIdleTarget() {
    hosts = 90;
    double ratio = ratioOfChoicesOfIdleTarget();

    // Four of 40 targets are sampled.
    assertTrue(ratio > 0.05 && ratio < 0.2, "part: " + ratio);
  }

  @Test
  void comparesAllTargetsIfTheSampleIsFailing() {
    hosts = 90;
    ratioOfChoicesOfIdleTarget();
    for (int index = 1; index < 40; index++) {
      targets.recordFailure(target("m" + index), TargetFailure.TIMEOUT);
    }
    target("m0").recordDataReceived(context.now());

    assertEquals("m0", chosen());
  }

  private static TargetLoad errors(int count) {
    return new TargetLoad(0, 0, 0, count, TargetLoad.NEVER);
  }

  @Test
  void avoidsIdleEngineThatReturnsErrorsToOtherHosts() {
    reportLoadsOfOtherHosts(Map.of("n1", errors(1), "n2", open(3), "s1", open(3)));

    assertEquals("n2", chosen());
  }

  @Test
  void choosesEngineAgainAfterErrorsDecay() {
    targets.recordErrorResponse(target("n1"));
    reportLoadsOfOtherHosts(Map.of("n2", open(2), "s1", open(2)));
    assertEquals("n2", chosen());

    context.advanceTo(context.now() + 6_000);
    reportLoadsOfOtherHosts(Map.of("n2", open(2), "s1", open(2)));

    assertEquals("n1", chosen());
  }

  @Test
  void ignoresErrorsThatAllTargetsReturn() {
    reportLoadsOfOtherHosts(Map.of("n1", errors(5), "n2", errors(4), "s1", errors(4)));
    targets.recordOpened(target("n2"));
    targets.recordOpened(target("s1"));

    assertEquals("n1", chosen());
  }

  @Test
  void avoidsEngineWithFarMoreErrorsThanOthers() {
    reportLoadsOfOtherHosts(Map.of("n1", errors(14), "n2", errors(4), "s1", errors(4)));
    targets.recordOpened(target("n2"));
    targets.recordOpened(target("s1"));

    assertEquals("n2", chosen());
  }

  @Test
  void avoidsAtMostHalfOfTheTargetsForErrors() {
    reportLoadsOfOtherHosts(Map.of("n1", errors(9), "n2", errors(9), "s1", open(4)));

    assertNotEquals("s1", chosen());
  }

  @Test
  void reasonsListAllNonZeroTerms() {
    reportLoadsOfOtherHosts(
        Map.of("n1", open(3), "n2", open(3), "s1", new TargetLoad(0, 0, 1, 0, 0)));

    assertEquals("COPIES:0.3,DISTANCE:1.5", choose(query).reasons());
  }
}
