package org.gatereel.core.limit;

import java.util.Optional;
import java.util.function.Consumer;

/** Lends other hosts what all hosts share. */
public interface TokenIssuer {
  /**
   * Lends what a host asks for.
   *
   * @param count how many, at least one
   * @param answer is told once, at once or later; empty if this host does not lend it now
   */
  void issue(TokenRequest subject, int count, Consumer<Optional<TokenGrant>> answer);
}
