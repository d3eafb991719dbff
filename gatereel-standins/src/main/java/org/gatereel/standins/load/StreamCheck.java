package org.gatereel.standins.load;

import java.util.HashSet;
import java.util.Set;
import org.gatereel.core.generation.PrefixDigest;
import org.gatereel.standins.ChainedTokens;

/** Checks that each received token continues the chain of its generation. */
public final class StreamCheck {
  private final Set<String> engines = new HashSet<>();
  private long chain;
  private int length;

  public StreamCheck(String prompt) {
    chain = ChainedTokens.start(prompt);
  }

  /** Checks the next token. */
  public void token(String token) throws InvalidResponseException {
    if (!ChainedTokens.continues(token, chain)) {
      throw new InvalidResponseException("token " + length + " does not continue: " + token);
    }
    chain = PrefixDigest.extend(chain, token);
    engines.add(ChainedTokens.engine(token));
    length++;
  }

  public int length() {
    return length;
  }

  public Set<String> engines() {
    return engines;
  }
}
