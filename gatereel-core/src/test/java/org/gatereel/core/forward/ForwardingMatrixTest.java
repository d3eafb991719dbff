package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.gatereel.core.forward.ForwardingScenario.Happening;
import org.junit.jupiter.api.Test;

/** The fault matrix over forwarding: every fault, and every ordered pair, at every step. */
class ForwardingMatrixTest {
  private static final Set<Happening> FAULTS =
      EnumSet.complementOf(EnumSet.of(Happening.ASK, Happening.ACCEPT, Happening.NEXT_EVENT));
  private static final int BETWEEN_MILLIS = 150;

  /** How far a request has come when the first fault strikes. */
  private enum Step {
    ASKED,
    ACCEPTED(Happening.ACCEPT),
    FIRST_EVENT(Happening.ACCEPT, Happening.NEXT_EVENT),
    MIDWAY(Happening.ACCEPT, Happening.NEXT_EVENT, Happening.NEXT_EVENT, Happening.NEXT_EVENT),
    MOVED_ONCE(Happening.ACCEPT, Happening.NEXT_EVENT, Happening.RESET),
    ACCEPTED_AGAIN(Happening.ACCEPT, Happening.NEXT_EVENT, Happening.RESET, Happening.ACCEPT),
    RUNNING_AGAIN(
        Happening.ACCEPT,
        Happening.NEXT_EVENT,
        Happening.RESET,
        Happening.ACCEPT,
        Happening.NEXT_EVENT);

    private final List<Happening> before;

    Step(Happening... before) {
      this.before = List.of(before);
    }
  }

  private static void play(int path, Step step, List<Happening> faults) {
    ForwardingScenario scenario = new ForwardingScenario();
    scenario.happen(Happening.ASK, path);
    step.before.forEach(happening -> scenario.happen(happening, 0));
    for (Happening fault : faults) {
      scenario.happen(fault, 0);
      scenario.happen(Happening.TIME_PASSES, BETWEEN_MILLIS);
    }
    scenario.happen(Happening.END, 0);
    scenario.finish();
  }

  private static int playAll(Step step, List<List<Happening>> cases) {
    List<String> failed = new ArrayList<>();
    for (int path = 0; path < ForwardingScenario.PATHS.length; path++) {
      for (List<Happening> faults : cases) {
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
    List<List<Happening>> single = FAULTS.stream().map(List::of).toList();
    for (Step step : Step.values()) {
      played += playAll(step, single);
    }
    assertEquals(Step.values().length * 3 * FAULTS.size(), played);
  }

  @Test
  void everyOrderedPairOfFaultsAtEveryStep() {
    List<List<Happening>> pairs = new ArrayList<>();
    for (Happening first : FAULTS) {
      FAULTS.forEach(second -> pairs.add(List.of(first, second)));
    }
    int played = 0;
    for (Step step : Step.values()) {
      played += playAll(step, pairs);
    }
    assertEquals(Step.values().length * 3 * FAULTS.size() * FAULTS.size(), played);
  }
}
