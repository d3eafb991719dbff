package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.load.LoadReport;
import org.gatereel.core.load.LoadScope;
import org.gatereel.core.load.TargetLoad;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.HostList;
import org.gatereel.core.model.LifeState;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.model.TargetKind;
import org.junit.jupiter.api.Test;

/**
 * What a host knows of a target that starts again under the name that it had.
 *
 * <p>Such a target holds nothing of before: no copies, no prompts, no requests. Whatever was known
 * of the run before it (failures, load, leaving) says nothing of it either.
 */
class RestartedTargetTest {
  private static final long FIRST = 1_000;
  private static final long SECOND = 2_000;

  private final ForwardWorld world = new ForwardWorld();
  private final ForwardWorld.Caller caller = new ForwardWorld.Caller();

  private static TargetDescription run(String name, long born, String dataCentre) {
    return run(name, born, dataCentre, LifeState.LIVE);
  }

  private static TargetDescription run(String name, long born, String dataCentre, LifeState state) {
    return new TargetDescription(
        new TargetId(name, born),
        TargetKind.ENGINE,
        ForwardWorld.ENGINES,
        new DataCentre(dataCentre),
        new Address("10.0.0." + (name.hashCode() & 0xff), 80),
        6,
        state);
  }

  private boolean isUsable(long born) {
    return world.targets.usable(ForwardWorld.ENGINES).stream()
        .anyMatch(target -> target.description().id().equals(new TargetId("e1", born)));
  }

  @Test
  void failuresOfARunDoNotKeepTheNextOneOut() {
    world.list(run("e1", FIRST, "north"));
    for (int failure = 0; failure < 6; failure++) {
      world.targets.failed(
          world.targets.find(new TargetId("e1", FIRST)).orElseThrow(), TargetFailure.NOT_CONNECTED);
    }

    world.list(run("e1", SECOND, "north"));

    assertTrue(isUsable(SECOND));
  }

  @Test
  void aRunThatLeavesSaysNothingOfTheNextOne() {
    world.list(run("e1", FIRST, "north", LifeState.LEAVING));

    world.list(run("e1", SECOND, "north"));

    assertTrue(isUsable(SECOND));
  }

  @Test
  void anEntryOfAnEarlierRunThatIsReadLateDoesNotBringItBack() {
    world.list(run("e1", SECOND, "north"));

    world.list(run("e1", FIRST, "north"));

    assertTrue(isUsable(SECOND));
    assertFalse(isUsable(FIRST));
  }

  @Test
  void theNextRunEndsTheOneBeforeAlsoWhereTheListMayLackTargets() {
    world.list(run("e1", FIRST, "north"));

    world.targets.seePartial(new HostList(9, List.of(), List.of(run("e1", SECOND, "north"))));

    assertFalse(isUsable(FIRST));
    assertTrue(isUsable(SECOND));
  }

  @Test
  void whatOtherHostsToldOfARunDoesNotCountForTheNextOne() {
    world.list(run("e1", SECOND, "north"));
    TargetLoad load = new TargetLoad(5, 1, 0, 0, TargetLoad.NEVER);
    world.loads.take(
        new LoadReport(
            new HostId("h2"),
            new Address("10.0.1.2", 7_215),
            LoadScope.EVERYONE_ELSE,
            1,
            1,
            OptionalLong.empty(),
            Map.of(new TargetId("e1", FIRST), load),
            Map.of()));

    assertEquals(load, world.loads.othersAt(new TargetId("e1", FIRST)));
    assertEquals(TargetLoad.NONE, world.loads.othersAt(new TargetId("e1", SECOND)));
  }

  @Test
  void aStreamMayGoToTheNextRunOfATargetThatItWasAt() {
    world.list(run("e1", FIRST, "north"));
    world.submit("/stream/x", caller);
    world.lastCall().accept();

    world.list(run("e1", SECOND, "north"));
    world.fail(world.sentCalls.get(0), TargetFailure.RESET);

    assertEquals(2, world.sentCalls.size());
    assertEquals(SECOND, world.lastCall().dispatch.target().id().born());
  }

  @Test
  void noContinuationAsksTheNextRunOfAHolderForACopyThatItCannotHave() {
    world.list(run("e1", FIRST, "north"), run("e2", FIRST, "south"));
    ForwardWorld.SentCall first = broken();
    String holder = first.target().equals("e1") ? "e2" : "e1";
    String zone = holder.equals("e1") ? "north" : "south";
    String other = first.target();
    String otherZone = other.equals("e1") ? "north" : "south";
    world.advanceTime(10);
    world.list(run(holder, SECOND, zone), run(other, FIRST, otherZone));

    world.fail(first, TargetFailure.RESET);

    assertEquals(Optional.empty(), world.lastCall().dispatch.continueFrom());
  }

  @Test
  void aHolderThatHasBegunAnewBeforeTheRunWentOnMayHaveACopyAgain() {
    world.list(run("e1", FIRST, "north"), run("e2", FIRST, "south"));
    ForwardWorld.SentCall first = broken();
    String holder = first.target().equals("e1") ? "e2" : "e1";
    String other = first.target();
    world.list(
        run(holder, SECOND, holder.equals("e1") ? "north" : "south"),
        run(other, FIRST, other.equals("e1") ? "north" : "south"));
    world.advanceTime(10);
    first.event(3);

    world.fail(first, TargetFailure.RESET);

    assertTrue(world.lastCall().dispatch.continueFrom().isPresent());
  }

  /** Starts a stream that has two events and is about to break. */
  private ForwardWorld.SentCall broken() {
    world.submit("/stream/x", caller);
    return world.lastCall().accept().respondHead(200, true).event(1).event(2);
  }

  @Test
  void aPromptThatARunHasReadIsNotLookedForAtTheNextOne() {
    world.list(run("e1", FIRST, "north"), run("e2", FIRST, "north"));
    world.lastEventId = OptionalLong.of(4);
    world.promptPart = Optional.of("p");
    world.submit("/stream/x", caller);
    for (ForwardWorld.PromptQuery question : List.copyOf(world.promptQueries)) {
      boolean keeps = question.target().equals("e1");
      if (keeps) {
        world.list(run("e1", SECOND, "north"), run("e2", FIRST, "north"));
        question.response().accept(Optional.of(Set.of("p")));
      }
    }

    assertEquals(1, world.sentCalls.size());
    assertEquals(
        1,
        world.targets.find(world.lastCall().dispatch.target().id()).orElseThrow().readingHere(),
        "the prompt is read anew, wherever the stream went");
  }
}
