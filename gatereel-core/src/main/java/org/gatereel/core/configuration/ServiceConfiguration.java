package org.gatereel.core.configuration;

import java.util.Optional;
import org.gatereel.core.model.ServiceName;

/**
 * The configuration of a service.
 *
 * @param connectionLimit how many connections one target accepts from all hosts together
 * @param engine the memory of its targets, if they are engines
 */
public record ServiceConfiguration(
    ServiceName name, int connectionLimit, Optional<EngineConfiguration> engine) {
  /**
   * The memory of an engine.
   *
   * @param cacheTokens how many tokens an engine's memory holds, in use and cached
   * @param copiesMemory whether an engine copies the memory of an execution to another one as it
   *     grows
   */
  public record EngineConfiguration(long cacheTokens, boolean copiesMemory) {
    /** Assumed length of the output as a ratio of the prompt's length. */
    private static final double OUTPUT_RATIO = 0.2;

    /**
     * Returns how many requests with prompts of a length fit into an engine's memory; at least one.
     */
    public int fittingRequests(long promptTokens) {
      double tokensPerRequest = promptTokens * (1 + OUTPUT_RATIO);
      return tokensPerRequest > 0
          ? Math.max(1, (int) (cacheTokens / tokensPerRequest))
          : Integer.MAX_VALUE;
    }
  }
}
