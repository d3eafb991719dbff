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
 * Targets that restart under the same name: copies, prompts, failures and load of an earlier
 * incarnation do not apply to the next one.
 */
class RestartedTargetTest {
  private static final long FIRST = 1_000;
  private static final long SECOND = 2_000;

  private final ForwardWorld world = new ForwardWorld();
  private final ForwardWorld.Caller caller = new ForwardWorld.Caller();

  private static TargetDescription incarnation(String name, long startedAt, String dataCentre) {
    return incarnation(name, startedAt, dataCentre, LifeState.LIVE);
  }

  private static TargetDescription incarnation(
      String name, long startedAt, String dataCentre, LifeState state) {
    return new TargetDescription(
        new TargetId(name, startedAt),
        TargetKind.ENGINE,
        ForwardWorld.ENGINES,
        new DataCentre(dataCentre),
        new Address("10.0.0." + (name.hashCode() & 0xff), 80),
        6,
        state);
  }

  private boolean isUsable(long startedAt) {
    return world.targets.usable(ForwardWorld.ENGINES).stream()
        .anyMatch(target -> target.description().id().equals(new TargetId("e1", startedAt)));
  }

  @Test
  void failuresOfIncarnationDoNotExcludeNextOne() {
    world.list(incarnation("e1", FIRST, "north"));
    for (int failure = 0; failure < 6; failure++) {
      world.targets.recordFailure(
          world.targets.find(new TargetId("e1", FIRST)).orElseThrow(), TargetFailure.NOT_CONNECTED);
    }

    world.list(incarnation("e1", SECOND, "north"));

    assertTrue(isUsable(SECOND));
  }

  @Test
  void leavingIncarnationDoesNotExcludeNextOne() {
    world.list(incarnation("e1", FIRST, "north", LifeState.LEAVING));

    world.list(incarnation("e1", SECOND, "north"));

    assertTrue(isUsable(SECOND));
  }

  @Test
  void lateEntryOfEarlierIncarnationIsIgnored() {
    world.list(incarnation("e1", SECOND, "north"));

    world.list(incarnation("e1", FIRST, "north"));

    assertTrue(isUsable(SECOND));
    assertFalse(isUsable(FIRST));
  }

  @Test
  void nextIncarnationReplacesPreviousOneThatIsRetained() {
    world.list(incarnation("e1", FIRST, "north"));

    world.targets.replaceList(
        new HostList(9, List.of(), List.of(incarnation("e1", SECOND, "north"))),
        Set.of(incarnation("e1", FIRST, "north").id()));

    assertFalse(isUsable(FIRST));
    assertTrue(isUsable(SECOND));
  }

  @Test
  void reportedLoadOfIncarnationDoesNotApplyToNextOne() {
    world.list(incarnation("e1", SECOND, "north"));
    TargetLoad load = new TargetLoad(5, 1, 0, 0, TargetLoad.NEVER);
    world.loads.receive(
        new LoadReport(
            new HostId("h2"),
            new Address("10.0.1.2", 7_215),
            LoadScope.EVERYONE_ELSE,
            1,
            1,
            OptionalLong.empty(),
            Map.of(new TargetId("e1", FIRST), load),
            Map.of()));

    assertEquals(load, world.loads.othersLoad(new TargetId("e1", FIRST)));
    assertEquals(TargetLoad.NONE, world.loads.othersLoad(new TargetId("e1", SECOND)));
  }

  @Test
  void streamMayMoveToNextIncarnationOfSameTarget() {
    world.list(incarnation("e1", FIRST, "north"));
    world.submit("/stream/x", caller);
    world.lastCall().accept();

    world.list(incarnation("e1", SECOND, "north"));
    world.fail(world.sentCalls.get(0), TargetFailure.RESET);

    assertEquals(2, world.sentCalls.size());
    assertEquals(SECOND, world.lastCall().dispatch.target().id().born());
  }

  @Test
  void continuationDoesNotUseCopyLostInRestart() {
    world.list(incarnation("e1", FIRST, "north"), incarnation("e2", FIRST, "south"));
    ForwardWorld.SentCall first = startStream();
    String holder = first.target().equals("e1") ? "e2" : "e1";
    String holderDataCentre = holder.equals("e1") ? "north" : "south";
    String other = first.target();
    String otherDataCentre = other.equals("e1") ? "north" : "south";
    world.advanceTime(10);
    world.list(
        incarnation(holder, SECOND, holderDataCentre), incarnation(other, FIRST, otherDataCentre));

    world.fail(first, TargetFailure.RESET);

    assertEquals(Optional.empty(), world.lastCall().dispatch.continueFrom());
  }

  @Test
  void restartedHolderMayHaveCopyAfterFurtherEvents() {
    world.list(incarnation("e1", FIRST, "north"), incarnation("e2", FIRST, "south"));
    ForwardWorld.SentCall first = startStream();
    String holder = first.target().equals("e1") ? "e2" : "e1";
    String other = first.target();
    world.list(
        incarnation(holder, SECOND, holder.equals("e1") ? "north" : "south"),
        incarnation(other, FIRST, other.equals("e1") ? "north" : "south"));
    world.advanceTime(10);
    first.event(3);

    world.fail(first, TargetFailure.RESET);

    assertTrue(world.lastCall().dispatch.continueFrom().isPresent());
  }

  /** Starts a stream and sends two events. */
  private ForwardWorld.SentCall startStream() {
    world.submit("/stream/x", caller);
    return world.lastCall().accept().respondHead(200, true).event(1).event(2);
  }

  @Test
  void promptOfEarlierIncarnationIsNotAssumedCached() {
    world.list(incarnation("e1", FIRST, "north"), incarnation("e2", FIRST, "north"));
    world.lastEventId = OptionalLong.of(4);
    world.promptPart = Optional.of("p");
    world.submit("/stream/x", caller);
    for (ForwardWorld.PromptQuery query : List.copyOf(world.promptQueries)) {
      boolean hasPrompt = query.target().equals("e1");
      if (hasPrompt) {
        world.list(incarnation("e1", SECOND, "north"), incarnation("e2", FIRST, "north"));
        query.response().accept(Optional.of(Set.of("p")));
      }
    }

    assertEquals(1, world.sentCalls.size());
    assertEquals(
        1,
        world.targets.find(world.lastCall().dispatch.target().id()).orElseThrow().localPrefills(),
        "the prompt is prefilled again at the chosen target");
  }
}
