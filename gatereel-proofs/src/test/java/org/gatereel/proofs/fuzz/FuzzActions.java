package org.gatereel.proofs.fuzz;

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
    ActionChainArbitrary<FuzzWorld> chains = ActionChain.startWith(() -> new FuzzWorld(seed));
    for (FuzzStep step : FuzzStep.values()) {
      chains = chains.withAction(step.weight(), action(step));
    }
    return chains.withMaxTransformations(LONGEST);
  }

  private static Action.Independent<FuzzWorld> action(FuzzStep step) {
    return () ->
        Combinators.combine(upTo(step.mostFirst()), upTo(step.mostSecond()))
            .as(
                (first, second) ->
                    Transformer.mutate(
                        step + " " + first + " " + second,
                        world -> step.apply(world, first, second)));
  }

  private static Arbitrary<Integer> upTo(int most) {
    return Arbitraries.integers().between(0, most).withoutEdgeCases();
  }
}
