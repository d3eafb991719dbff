package org.gatereel.proofs.matrix;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.gatereel.core.action.Action;
import org.gatereel.proofs.world.FakeHost;
import org.gatereel.proofs.world.Sabotage;

/** Every fault at every step of a request's and an edit's life, singly and in pairs. */
public final class FaultMatrix {
  private static final long SECOND_FAULT_DELAY = 150;

  private final long seed;
  private final Sabotage sabotage;

  public FaultMatrix(long seed) {
    this(seed, Sabotage.NONE);
  }

  /** Makes a matrix over hosts that are broken on purpose. */
  FaultMatrix(long seed, Sabotage sabotage) {
    this.seed = seed;
    this.sabotage = sabotage;
  }

  /** Runs every case; the order and the verdicts are the same on every run with one seed. */
  public List<MatrixResult> run(boolean pairs) {
    List<MatrixResult> results = new ArrayList<>();
    results.addAll(
        run(
            "generation",
            GenerationScene::new,
            GenerationStep.values(),
            GenerationFault.values(),
            pairs));
    results.addAll(run("call", CallScene::new, CallStep.values(), CallFault.values(), pairs));
    results.addAll(run("edit", EditScene::new, EditStep.values(), EditFault.values(), pairs));
    return results;
  }

  /**
   * Runs the one case with these names and prints its events as they happen.
   *
   * @throws IllegalArgumentException if there is no such step or fault
   */
  public MatrixResult trace(String subject, String step, List<String> faults) {
    return one(subject, step, faults, scene -> scene.world().watch((h, a) -> print(scene, h, a)));
  }

  /** Runs the one case with these names. */
  MatrixResult one(String subject, String step, List<String> faults) {
    return one(subject, step, faults, scene -> {});
  }

  private MatrixResult one(
      String subject, String step, List<String> faults, Consumer<Scene> prepare) {
    return switch (subject) {
      case "generation" ->
          one(
              subject,
              prepared(new GenerationScene(seed), prepare),
              GenerationStep.valueOf(step),
              faults.stream().<Fault<GenerationScene>>map(GenerationFault::valueOf).toList());
      case "call" ->
          one(
              subject,
              prepared(new CallScene(seed), prepare),
              CallStep.valueOf(step),
              faults.stream().<Fault<CallScene>>map(CallFault::valueOf).toList());
      case "edit" ->
          one(
              subject,
              prepared(new EditScene(seed), prepare),
              EditStep.valueOf(step),
              faults.stream().<Fault<EditScene>>map(EditFault::valueOf).toList());
      default -> throw new IllegalArgumentException("no subject " + subject);
    };
  }

  private static <S extends Scene> S prepared(S scene, Consumer<Scene> prepare) {
    prepare.accept(scene);
    return scene;
  }

  private static void print(Scene scene, FakeHost host, Action action) {
    boolean telling =
        action instanceof Action.LogEvent
            || action instanceof Action.SendProblem
            || action instanceof Action.SendResponse
            || action instanceof Action.EndStream;
    if (telling) {
      System.out.println(scene.world().now() + " " + host.id() + " " + action);
    }
  }

  private <S extends Scene> List<MatrixResult> run(
      String subject, LongFunction<S> scenes, Step<S>[] steps, Fault<S>[] faults, boolean pairs) {
    List<MatrixResult> results = new ArrayList<>();
    for (Step<S> step : steps) {
      for (Fault<S> first : faults) {
        results.add(one(subject, scenes.apply(seed), step, List.of(first)));
        for (Fault<S> second : faults) {
          if (pairs && first != second) {
            results.add(one(subject, scenes.apply(seed), step, List.of(first, second)));
          }
        }
      }
    }
    return results;
  }

  private <S extends Scene> MatrixResult one(
      String subject, S scene, Step<S> step, List<Fault<S>> faults) {
    scene.world().hosts().forEach(host -> host.sabotage(sabotage));
    Trigger<S> trigger = new Trigger<>(scene, step, faults);
    scene.world().watch(trigger::saw);
    scene.begin();
    scene.world().runUntil(scene.world().now() + Scene.LONGEST, scene::isDone);
    List<String> names = faults.stream().map(Fault::name).toList();
    scene.checkEnd(names);
    List<String> violations =
        scene.violations().stream()
            .map(violation -> violation.promise() + ": " + violation.detail())
            .toList();
    Verdict verdict = Verdict.PASSED;
    if (!violations.isEmpty()) {
      verdict = Verdict.FAILED;
    } else if (!trigger.fired) {
      verdict = Verdict.NOT_RUN;
    }
    long gap = scene instanceof GenerationScene generation ? generation.caller().longestGap() : 0;
    return new MatrixResult(subject, step.name(), names, verdict, violations, gap);
  }

  /** Injects the faults the first time the step is reached. */
  private static final class Trigger<S extends Scene> {
    private final S scene;
    private final Step<S> step;
    private final List<Fault<S>> faults;
    private boolean fired;

    private Trigger(S scene, Step<S> step, List<Fault<S>> faults) {
      this.scene = scene;
      this.step = step;
      this.faults = faults;
    }

    private void saw(FakeHost host, Action action) {
      if (fired || !step.isReached(scene, host, action)) {
        return;
      }
      fired = true;
      faults.get(0).inject(scene);
      if (faults.size() > 1) {
        scene.world().after(SECOND_FAULT_DELAY, () -> faults.get(1).inject(scene));
      }
    }
  }
}
