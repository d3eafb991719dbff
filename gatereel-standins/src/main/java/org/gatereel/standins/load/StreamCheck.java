package org.gatereel.standins.load;

import java.util.HashSet;
import java.util.Set;
import org.gatereel.core.generation.PrefixDigest;
import org.gatereel.standins.ChainedTokens;

/** Checks as tokens come in that an answer is whole: the chain shows every kind of damage. */
public final class StreamCheck {
  private final Set<String> engines = new HashSet<>();
  private long chain;
  private int length;

  public StreamCheck(String prompt) {
    chain = ChainedTokens.start(prompt);
  }

  /** Takes in the next token. */
  public void token(String token) throws BrokenAnswerException {
    if (!ChainedTokens.continues(token, chain)) {
      throw new BrokenAnswerException("token " + length + " does not continue: " + token);
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
