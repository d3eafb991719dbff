package org.gatereel.proofs.matrix;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

class FaultMatrixTest {
  private static final long SEED = 20_261_202;

  @Test
  void everyFaultAndPairOfFaultsAtEveryStepKeepsThePromises() {
    System.out.println("fault matrix, seed " + SEED);
    List<MatrixResult> results = new FaultMatrix(SEED).run(true);
    assertEquals(List.of(), with(results, Verdict.FAILED));
    assertEquals(List.of(), with(results, Verdict.NOT_RUN));
  }

  @Test
  void theVerdictsAreTheSameOnEveryRun() {
    assertEquals(new FaultMatrix(SEED).run(false), new FaultMatrix(SEED).run(false));
  }

  private static List<MatrixResult> with(List<MatrixResult> results, Verdict verdict) {
    return results.stream().filter(result -> result.verdict() == verdict).toList();
  }
}
