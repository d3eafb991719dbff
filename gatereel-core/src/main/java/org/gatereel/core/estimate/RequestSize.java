package org.gatereel.core.estimate;

/**
 * The size of a request for an engine.
 *
 * @param promptTokens the tokens of the prompt; 0 for a call of a plain service
 * @param outputTokens the expected tokens of the output; 0 if unknown
 */
public record RequestSize(long promptTokens, long outputTokens) {
  /** The size of a call of a plain service. */
  public static final RequestSize CALL = new RequestSize(0, 0);

  /** Returns the tokens of memory that the request needs at its end. */
  public long totalTokens() {
    return promptTokens + outputTokens;
  }
}
