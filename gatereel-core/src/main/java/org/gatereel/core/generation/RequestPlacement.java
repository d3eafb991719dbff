package org.gatereel.core.generation;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.gatereel.core.event.PolicyVariant;
import org.gatereel.core.model.RequestId;
import org.gatereel.core.table.Column;
import org.gatereel.core.table.Row;
import org.gatereel.core.target.PlacementPolicy;

/** Determines the policy variant, the placement policy and the cache affinity of a request. */
public final class RequestPlacement {
  private static final int MAX_AFFINITY_CHARACTERS = 256;
  private static final int PERCENT = 100;

  private RequestPlacement() {}

  /** Returns the policy variant of a request; every host returns the same one. */
  public static PolicyVariant variant(Row service, RequestId request) {
    int hash = Hashing.sipHash24().hashString(request.value(), StandardCharsets.UTF_8).asInt();
    boolean second = Math.floorMod(hash, PERCENT) < service.intValue(Column.SECOND_SHARE);
    return second ? PolicyVariant.SECOND : PolicyVariant.FIRST;
  }

  public static PlacementPolicy placementPolicy(Row service, PolicyVariant variant) {
    Column column = variant == PolicyVariant.FIRST ? Column.PLACEMENT : Column.SECOND_PLACEMENT;
    return service.enumValue(column, PlacementPolicy.class);
  }

  /** Returns the start of a prompt, which is equal for requests with a common context. */
  public static String affinityKey(String prompt) {
    return prompt.substring(0, Math.min(MAX_AFFINITY_CHARACTERS, prompt.length()));
  }
}
