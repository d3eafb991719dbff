package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.gatereel.core.forward.ForwardingScenario.ScenarioStep;
import org.junit.jupiter.api.Test;

/** The fault matrix over forwarding: every fault, and every ordered pair, at every step. */
class ForwardingMatrixTest {
  private static final Set<ScenarioStep> FAULTS =
      EnumSet.complementOf(EnumSet.of(ScenarioStep.ASK, ScenarioStep.ACCEPT, ScenarioStep.NEXT_EVENT));
  private static final int BETWEEN_MILLIS = 150;

  /** How far a request has come when the first fault strikes. */
  private enum Step {
    ASKED,
    ACCEPTED(ScenarioStep.ACCEPT),
    FIRST_EVENT(ScenarioStep.ACCEPT, ScenarioStep.NEXT_EVENT),
    MIDWAY(ScenarioStep.ACCEPT, ScenarioStep.NEXT_EVENT, ScenarioStep.NEXT_EVENT, ScenarioStep.NEXT_EVENT),
    MOVED_ONCE(ScenarioStep.ACCEPT, ScenarioStep.NEXT_EVENT, ScenarioStep.RESET),
    ACCEPTED_AGAIN(ScenarioStep.ACCEPT, ScenarioStep.NEXT_EVENT, ScenarioStep.RESET, ScenarioStep.ACCEPT),
    RUNNING_AGAIN(
        ScenarioStep.ACCEPT,
        ScenarioStep.NEXT_EVENT,
        ScenarioStep.RESET,
        ScenarioStep.ACCEPT,
        ScenarioStep.NEXT_EVENT);

    private final List<ScenarioStep> before;

    Step(ScenarioStep... before) {
      this.before = List.of(before);
    }
  }

  private static void play(int path, Step step, List<ScenarioStep> faults) {
    ForwardingScenario scenario = new ForwardingScenario();
    scenario.perform(ScenarioStep.ASK, path);
    step.before.forEach(happening -> scenario.perform(happening, 0));
    for (ScenarioStep fault : faults) {
      scenario.perform(fault, 0);
      scenario.perform(ScenarioStep.TIME_PASSES, BETWEEN_MILLIS);
    }
    scenario.perform(ScenarioStep.END, 0);
    scenario.finish();
  }

  private static int playAll(Step step, List<List<ScenarioStep>> cases) {
    List<String> failed = new ArrayList<>();
    for (int path = 0; path < ForwardingScenario.PATHS.length; path++) {
      for (List<ScenarioStep> faults : cases) {
        try {
          play(path, step, faults);
        } catch (AssertionError e) {
          failed.add(ForwardingScenario.PATHS[path] + " " + step + " " + faults + ": " + e);
        }
      }
    }
    assertEquals(List.of(), failed);
    return cases.size() * ForwardingScenario.PATHS.length;
  }

  @Test
  void everyFaultAtEveryStep() {
    int played = 0;
    List<List<ScenarioStep>> single = FAULTS.stream().map(List::of).toList();
    for (Step step : Step.values()) {
      played += playAll(step, single);
    }
    assertEquals(Step.values().length * 3 * FAULTS.size(), played);
  }

  @Test
  void everyOrderedPairOfFaultsAtEveryStep() {
    List<List<ScenarioStep>> pairs = new ArrayList<>();
    for (ScenarioStep first : FAULTS) {
      FAULTS.forEach(second -> pairs.add(List.of(first, second)));
    }
    int played = 0;
    for (Step step : Step.values()) {
      played += playAll(step, pairs);
    }
    assertEquals(Step.values().length * 3 * FAULTS.size() * FAULTS.size(), played);
  }
}
