package org.gatereel.adapters.targets;

import java.util.List;

/** The JSON bodies of engines. */
public final class EngineMessages {
  private EngineMessages() {}

  /**
   * Asks for a generation.
   *
   * @param tokens the tokens that the answer already has; the engine goes on after them
   */
  public record Generate(
      String request,
      int attempt,
      String prompt,
      List<String> tokens,
      int maximumTokens,
      int priority) {}

  /** One token; {@code load} is what the engine last counted as its load. */
  public record Token(int offset, String token, int load) {}

  /** The end of a generation, with its whole length. */
  public record End(int length) {}

  /** Why a target did not start a request. */
  public record Rejection(String reason) {}

  /** Asks to stop an attempt. */
  public record Cancel(String request, int attempt) {}
}
