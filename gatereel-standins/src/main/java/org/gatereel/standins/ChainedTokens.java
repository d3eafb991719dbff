package org.gatereel.standins;

import java.util.List;
import org.gatereel.core.generation.PrefixDigest;

/**
 * Tokens that identify the prefix that they continue.
 *
 * <p>Each token names the engine and carries a digest of the prompt and of all tokens before it. A
 * token that was left out, repeated or taken from another generation breaks the chain.
 */
public final class ChainedTokens {
  private static final char SEPARATOR = ':';

  private ChainedTokens() {}

  /** Returns the chain value before the first token. */
  public static long start(String prompt) {
    return PrefixDigest.extend(PrefixDigest.EMPTY, prompt);
  }

  /** Returns the chain value after some tokens. */
  public static long after(String prompt, List<String> tokens) {
    long chain = start(prompt);
    for (String token : tokens) {
      chain = PrefixDigest.extend(chain, token);
    }
    return chain;
  }

  /** Returns the token that an engine puts after a chain value. */
  public static String next(String engine, long chain) {
    return engine + SEPARATOR + Long.toHexString(chain);
  }

  /** Returns whether a token continues a chain value. */
  public static boolean continues(String token, long chain) {
    int separator = token.lastIndexOf(SEPARATOR);
    return separator > 0 && token.substring(separator + 1).equals(Long.toHexString(chain));
  }

  /** Returns the engine that a token names. */
  public static String engine(String token) {
    return token.substring(0, Math.max(0, token.lastIndexOf(SEPARATOR)));
  }
}
