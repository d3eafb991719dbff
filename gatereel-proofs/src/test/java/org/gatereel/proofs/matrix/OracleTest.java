package org.gatereel.proofs.matrix;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.gatereel.proofs.Promise;
import org.gatereel.proofs.world.Sabotage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** For each promise, a deliberately broken host has to be caught. */
class OracleTest {
  private static final long SEED = 5;

  @ParameterizedTest
  @CsvSource({
    "STREAM_WHOLE, SKIPS_TOKENS, generation, MIDDLE, ENGINE_DIES",
    "NEVER_MIXED, RESUMES_WITH_OTHER_PREFIX, generation, MIDDLE, ENGINE_DIES",
    "OWN_ANSWER, ANSWERS_WITH_ANOTHER_BODY, call, SENT, TARGET_LEAVES",
    "NOT_RUN_TRUE, SAYS_NOT_RUN, call, SENT, TARGET_DIES_AFTER_RUNNING",
    "AT_MOST_ONCE, IGNORES_CLAIMS, call, SENT, SENT_AGAIN_ELSEWHERE",
    "STOP_CUTS_NOTHING, CUTS_CALLERS_WHEN_DRAINING, generation, MIDDLE, OWNER_DRAINS",
    "EDITS_HOLD, CONFIRMS_LOST_EDITS, edit, WRITING, RIVAL_ON_SAME_ROW",
  })
  void aBrokenHostIsCaught(
      Promise promise, Sabotage sabotage, String subject, String step, String fault) {
    FaultMatrix broken = new FaultMatrix(SEED, sabotage);
    MatrixResult result = broken.one(subject, step, List.of(fault));
    assertEquals(Verdict.FAILED, result.verdict());
    assertTrue(
        result.violations().stream().anyMatch(text -> text.startsWith(promise.name())),
        result.toString());
    FaultMatrix whole = new FaultMatrix(SEED);
    assertEquals(Verdict.PASSED, whole.one(subject, step, List.of(fault)).verdict());
  }

  @Test
  void aHostThatIgnoresLeavingTargetsIsCaught() {
    LeavingScene broken = new LeavingScene(SEED, Sabotage.IGNORES_LEAVING);
    assertTrue(
        broken.violations().stream()
            .anyMatch(violation -> violation.promise() == Promise.LEAVING_GETS_NOTHING));
    assertEquals(List.of(), new LeavingScene(SEED, Sabotage.NONE).violations());
  }
}
