package org.gatereel.proofs.fuzz;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.ActionChainArbitrary;

class FuzzTest {
  private static final long WORLD_SEED = 7;

  @Property(tries = 300, seed = "20261202", edgeCases = EdgeCasesMode.NONE)
  void thePromisesHoldInEverySequence(@ForAll("chains") ActionChain<FuzzWorld> chain) {
    FuzzWorld world = chain.run();
    assertEquals(List.of(), world.settle());
  }

  @Provide
  ActionChainArbitrary<FuzzWorld> chains() {
    return FuzzActions.chains(WORLD_SEED);
  }
}
