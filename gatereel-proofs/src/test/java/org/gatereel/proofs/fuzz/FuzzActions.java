package org.gatereel.proofs.fuzz;

import java.util.function.Consumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.ActionChainArbitrary;
import net.jqwik.api.state.Transformer;

/** Sequences of what callers, operators and faults may do. */
public final class FuzzActions {
  private static final int LONGEST = 40;

  private FuzzActions() {}

  /** Returns sequences in the world with a seed. */
  public static ActionChainArbitrary<FuzzWorld> chains(long seed) {
    return ActionChain.startWith(() -> new FuzzWorld(seed))
        .withAction(12, each(upTo(3_000), "pass", (world, n) -> world.pass(1 + n)))
        .withAction(6, two(upTo(8), upTo(60), "stream", (w, a, n) -> w.startStream(a, 1 + n)))
        .withAction(5, two(upTo(8), upTo(4), "call", FuzzWorld::startCall))
        .withAction(3, two(upTo(8), upTo(1), "edit", FuzzWorld::edit))
        .withAction(3, two(upTo(8), upTo(8), "move caller", FuzzWorld::moveCaller))
        .withAction(3, each(upTo(8), "kill host", FuzzWorld::killHost))
        .withAction(3, two(upTo(8), upTo(6_000), "pause host", FuzzWorld::pauseHost))
        .withAction(2, each(upTo(8), "kill engine", (w, n) -> w.killEngine(n, false)))
        .withAction(1, each(upTo(8), "engine vanishes", (w, n) -> w.killEngine(n, true)))
        .withAction(2, two(upTo(8), upTo(6_000), "freeze engine", FuzzWorld::freezeEngine))
        .withAction(2, each(upTo(8), "kill service", FuzzWorld::killService))
        .withAction(2, two(upTo(8), upTo(6_000), "freeze service", FuzzWorld::freezeService))
        .withAction(2, two(upTo(8), upTo(8), "cut link", (w, a, b) -> w.cutLink(a, b, false)))
        .withAction(2, two(upTo(8), upTo(8), "cut one way", (w, a, b) -> w.cutLink(a, b, true)))
        .withAction(1, each(upTo(8), "cut hall", FuzzWorld::cutHall))
        .withAction(3, each(upTo(1), "heal", (w, n) -> w.heal()))
        .withAction(
            1, two(upTo(10), upTo(20), "network", (w, loss, late) -> w.misbehave(loss, 10, late)))
        .withAction(1, each(upTo(1), "platform down", (w, n) -> w.platform(true, false, false, 0)))
        .withAction(1, each(upTo(1), "platform slow", (w, n) -> w.platform(false, true, false, 0)))
        .withAction(1, each(upTo(1), "stale reads", (w, n) -> w.platform(false, false, true, 0)))
        .withAction(2, each(upTo(3), "lose answers", (w, n) -> w.platform(false, false, false, n)))
        .withAction(2, each(upTo(1), "platform up", (w, n) -> w.platform(false, false, false, 0)))
        .withMaxTransformations(LONGEST);
  }

  private interface Two {
    void apply(FuzzWorld world, int first, int second);
  }

  private interface One {
    void apply(FuzzWorld world, int number);
  }

  private static Arbitrary<Integer> upTo(int most) {
    return Arbitraries.integers().between(0, most).withoutEdgeCases();
  }

  private static Action.Independent<FuzzWorld> each(
      Arbitrary<Integer> numbers, String name, One action) {
    return () -> numbers.map(n -> mutate(name + " " + n, world -> action.apply(world, n)));
  }

  private static Action.Independent<FuzzWorld> two(
      Arbitrary<Integer> firsts, Arbitrary<Integer> seconds, String name, Two action) {
    return () ->
        Combinators.combine(firsts, seconds)
            .as((a, b) -> mutate(name + " " + a + " " + b, world -> action.apply(world, a, b)));
  }

  private static Transformer<FuzzWorld> mutate(String name, Consumer<FuzzWorld> change) {
    return Transformer.mutate(name, change);
  }
}
