package org.gatereel.core.generation;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.gatereel.core.event.Arm;
import org.gatereel.core.model.RequestId;
import org.gatereel.core.table.Column;
import org.gatereel.core.table.Row;
import org.gatereel.core.target.PlacementPolicy;

/** Reads a service's row for one request: its arm, its placement, and what it shares a cache by. */
public final class Placements {
  private static final int AFFINITY_CHARACTERS = 256;
  private static final int PERCENT = 100;

  private Placements() {}

  /** Returns the arm of a request; the same on every host. */
  public static Arm arm(Row service, RequestId request) {
    int hash = Hashing.sipHash24().hashString(request.value(), StandardCharsets.UTF_8).asInt();
    boolean second = Math.floorMod(hash, PERCENT) < service.number(Column.SECOND_SHARE);
    return second ? Arm.SECOND : Arm.FIRST;
  }

  /** Returns the placement of a service's arm. */
  public static PlacementPolicy policy(Row service, Arm arm) {
    Column column = arm == Arm.FIRST ? Column.PLACEMENT : Column.SECOND_PLACEMENT;
    return service.choice(column, PlacementPolicy.class);
  }

  /** Returns the beginning of a prompt, which requests with a common context share. */
  public static String affinityKey(String prompt) {
    return prompt.substring(0, Math.min(AFFINITY_CHARACTERS, prompt.length()));
  }
}
