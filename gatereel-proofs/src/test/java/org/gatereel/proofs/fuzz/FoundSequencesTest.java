package org.gatereel.proofs.fuzz;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Sequences that once broke a promise, shrunk; each failed before its fault was mended. */
class FoundSequencesTest {
  private static final long SEED = 20_261_202;

  @ParameterizedTest
  @ValueSource(
      strings = {
        // A host without a table told callers that their calls had not run.
        "KILL_HOST 2 0,CUT_LINK 2 3,PASS 1197 0,CUT_HALL 2 0,PASS 304 0,CALL 2 2,CALL 7 2",
        // A host answered for the claim of the process before it.
        "CALL 0 2,PASS 5 0,KILL_HOST 0 0,CALL 4 2,PLATFORM_DOWN 0 0,PASS 2394 0",
        // A doubled message took tokens away from a copy.
        "EDIT 2 0,STREAM 2 2,KILL_HOST 2 0,PASS 16 0,NETWORK_MISBEHAVES 5 4,PASS 96 0,"
            + "STREAM 7 58,MOVE_CALLER 5 4,MOVE_CALLER 5 7,PASS 639 0,PASS 286 0",
      })
  void aSequenceThatOnceFailedKeepsThePromises(String sequence) {
    FuzzWorld world = new FuzzWorld(SEED);
    Arrays.asList(sequence.split(",", -1)).forEach(step -> FuzzStep.replay(world, step));
    assertEquals(List.of(), world.settle());
  }
}
