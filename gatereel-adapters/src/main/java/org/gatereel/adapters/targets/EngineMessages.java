package org.gatereel.adapters.targets;

import java.util.List;

/** The JSON messages of the engines' HTTP API. */
public final class EngineMessages {
  private EngineMessages() {}

  /**
   * A request for a generation.
   *
   * @param tokens the tokens that were already generated; the engine continues after them
   */
  public record Generate(
      String request,
      int attempt,
      String prompt,
      List<String> tokens,
      int maximumTokens,
      int priority) {}

  /** A token at an offset in the response; {@code load} is the engine's reported load. */
  public record Token(int offset, String token, int load) {}

  /** The end of a generation; {@code length} is the total number of tokens. */
  public record End(int length) {}

  /** The reason why a target did not start a request. */
  public record Rejection(String reason) {}

  /** A request to cancel an attempt. */
  public record Cancel(String request, int attempt) {}
}
