package org.gatereel.core.forward;

import java.util.Optional;
import org.gatereel.core.model.ServiceName;

/**
 * What the configuration says of a service.
 *
 * @param connectionLimit how many connections one target takes from all hosts together
 * @param engine what is known of its targets' memory if they are model engines
 */
public record ServiceConfiguration(
    ServiceName name, int connectionLimit, Optional<EngineConfiguration> engine) {
  /**
   * The memory of a model engine.
   *
   * @param cacheTokens how many tokens an engine holds, running and cached
   * @param copiesMemory whether an engine copies a run's memory to another one as it grows
   */
  public record EngineConfiguration(long cacheTokens, boolean copiesMemory) {
    /** What a run makes beside its prompt, as a part of it: some 1,000 tokens after 5,000. */
    private static final double OUTPUT_RATIO = 0.2;

    /** Returns how many runs with prompts of a size an engine's memory holds; at least one. */
    int fittingRequests(long promptTokens) {
      double each = promptTokens * (1 + OUTPUT_RATIO);
      return each > 0 ? Math.max(1, (int) (cacheTokens / each)) : Integer.MAX_VALUE;
    }
  }
}
