package org.gatereel.proofs.fuzz;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.RandomGenerator;
import net.jqwik.api.Shrinkable;
import net.jqwik.api.sessions.JqwikSession;
import net.jqwik.api.state.ActionChain;
import org.gatereel.proofs.Oracle;

/** Longer fuzzing from the command line; a failing sequence is shrunk before it is returned. */
public final class FuzzRun {
  private static final int GENERATOR_SIZE = 1_000;
  private static final int MOST_SHRINKS = 300;

  private FuzzRun() {}

  /**
   * A sequence that broke a promise.
   *
   * @param attempt which of the tries it was, from 1
   */
  public record Failure(int attempt, List<String> sequence, List<Oracle.Violation> violations) {}

  /** Runs a printed sequence again and prints its events; returns what was broken. */
  public static List<Oracle.Violation> replay(long seed, List<String> sequence) {
    FuzzWorld world = new FuzzWorld(seed);
    world.printEvents();
    sequence.forEach(printed -> FuzzStep.replay(world, printed));
    return world.settle();
  }

  /** Runs sequences until one fails. */
  public static Optional<Failure> run(long seed, int tries) {
    JqwikSession.start();
    try {
      return search(seed, tries);
    } finally {
      JqwikSession.finish();
    }
  }

  private static Optional<Failure> search(long seed, int tries) {
    RandomGenerator<ActionChain<FuzzWorld>> generator =
        FuzzActions.chains(seed).generator(GENERATOR_SIZE);
    Random random = new Random(seed);
    for (int attempt = 1; attempt <= tries; attempt++) {
      Shrinkable<ActionChain<FuzzWorld>> candidate = generator.next(random);
      ActionChain<FuzzWorld> chain = candidate.value();
      List<Oracle.Violation> violations = chain.run().settle();
      if (!violations.isEmpty()) {
        return Optional.of(shrink(attempt, candidate, chain, violations));
      }
      JqwikSession.finishTry();
    }
    return Optional.empty();
  }

  private static Failure shrink(
      int attempt,
      Shrinkable<ActionChain<FuzzWorld>> failing,
      ActionChain<FuzzWorld> chain,
      List<Oracle.Violation> violations) {
    Shrinkable<ActionChain<FuzzWorld>> smallest = failing;
    Failure failure = new Failure(attempt, chain.transformations(), violations);
    int shrinks = 0;
    boolean smaller = true;
    while (smaller && shrinks < MOST_SHRINKS) {
      smaller = false;
      for (var next : (Iterable<Shrinkable<ActionChain<FuzzWorld>>>) smallest.shrink()::iterator) {
        shrinks++;
        ActionChain<FuzzWorld> nextChain = next.value();
        List<Oracle.Violation> still = nextChain.run().settle();
        if (!still.isEmpty()) {
          smallest = next;
          failure = new Failure(attempt, nextChain.transformations(), still);
          smaller = true;
          break;
        }
        if (shrinks >= MOST_SHRINKS) {
          break;
        }
      }
    }
    return failure;
  }
}
