package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.gatereel.core.forward.ForwardingScenario.ScenarioStep;
import org.junit.jupiter.api.Test;

/** Every fault, and every ordered pair of faults, at every step of a request. */
class ForwardingMatrixTest {
  private static final Set<ScenarioStep> FAULTS =
      EnumSet.complementOf(
          EnumSet.of(ScenarioStep.ASK, ScenarioStep.ACCEPT, ScenarioStep.NEXT_EVENT));
  private static final int FAULT_INTERVAL_MILLIS = 150;

  /** The progress of a request when the first fault occurs. */
  private enum Step {
    ASKED,
    ACCEPTED(ScenarioStep.ACCEPT),
    FIRST_EVENT(ScenarioStep.ACCEPT, ScenarioStep.NEXT_EVENT),
    MIDWAY(
        ScenarioStep.ACCEPT,
        ScenarioStep.NEXT_EVENT,
        ScenarioStep.NEXT_EVENT,
        ScenarioStep.NEXT_EVENT),
    MOVED_ONCE(ScenarioStep.ACCEPT, ScenarioStep.NEXT_EVENT, ScenarioStep.RESET),
    ACCEPTED_AGAIN(
        ScenarioStep.ACCEPT, ScenarioStep.NEXT_EVENT, ScenarioStep.RESET, ScenarioStep.ACCEPT),
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

  private static void checkCase(int path, Step step, List<ScenarioStep> faults) {
    ForwardingScenario scenario = new ForwardingScenario();
    scenario.perform(ScenarioStep.ASK, path);
    step.before.forEach(scenarioStep -> scenario.perform(scenarioStep, 0));
    for (ScenarioStep fault : faults) {
      scenario.perform(fault, 0);
      scenario.perform(ScenarioStep.TIME_PASSES, FAULT_INTERVAL_MILLIS);
    }
    scenario.perform(ScenarioStep.END, 0);
    scenario.finish();
  }

  private static int checkCases(Step step, List<List<ScenarioStep>> faultSequences) {
    List<String> failed = new ArrayList<>();
    for (int path = 0; path < ForwardingScenario.PATHS.length; path++) {
      for (List<ScenarioStep> faults : faultSequences) {
        try {
          checkCase(path, step, faults);
        } catch (AssertionError e) {
          failed.add(ForwardingScenario.PATHS[path] + " " + step + " " + faults + ": " + e);
        }
      }
    }
    assertEquals(List.of(), failed);
    return faultSequences.size() * ForwardingScenario.PATHS.length;
  }

  @Test
  void invariantsHoldForEveryFaultAtEveryStep() {
    int checked = 0;
    List<List<ScenarioStep>> single = FAULTS.stream().map(List::of).toList();
    for (Step step : Step.values()) {
      checked += checkCases(step, single);
    }
    assertEquals(Step.values().length * 3 * FAULTS.size(), checked);
  }

  @Test
  void invariantsHoldForEveryOrderedPairOfFaultsAtEveryStep() {
    List<List<ScenarioStep>> pairs = new ArrayList<>();
    for (ScenarioStep first : FAULTS) {
      FAULTS.forEach(second -> pairs.add(List.of(first, second)));
    }
    int checked = 0;
    for (Step step : Step.values()) {
      checked += checkCases(step, pairs);
    }
    assertEquals(Step.values().length * 3 * FAULTS.size() * FAULTS.size(), checked);
  }
}
