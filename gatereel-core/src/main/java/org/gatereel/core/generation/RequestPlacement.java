package org.gatereel.core.generation;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.gatereel.core.event.PolicyVariant;
import org.gatereel.core.model.RequestId;
import org.gatereel.core.table.Column;
import org.gatereel.core.table.Row;
import org.gatereel.core.target.PlacementPolicy;

/** Reads a service's row for one request: its arm, its placement, and what it shares a cache by. */
public final class RequestPlacement {
  private static final int AFFINITY_CHARACTERS = 256;
  private static final int PERCENT = 100;

  private RequestPlacement() {}

  /** Returns the arm of a request; the same on every host. */
  public static PolicyVariant variant(Row service, RequestId request) {
    int hash = Hashing.sipHash24().hashString(request.value(), StandardCharsets.UTF_8).asInt();
    boolean second = Math.floorMod(hash, PERCENT) < service.number(Column.SECOND_SHARE);
    return second ? PolicyVariant.SECOND : PolicyVariant.FIRST;
  }

  /** Returns the placement of a service's arm. */
  public static PlacementPolicy placementPolicy(Row service, PolicyVariant arm) {
    Column column = arm == PolicyVariant.FIRST ? Column.PLACEMENT : Column.SECOND_PLACEMENT;
    return service.choice(column, PlacementPolicy.class);
  }

  /** Returns the beginning of a prompt, which requests with a common context share. */
  public static String affinityKey(String prompt) {
    return prompt.substring(0, Math.min(AFFINITY_CHARACTERS, prompt.length()));
  }
}
