package org.gatereel.core.limit;

import java.util.Optional;
import java.util.function.Consumer;

/** Issues tokens of shared budgets and limits to other hosts. */
public interface TokenIssuer {
  /**
   * Issues tokens.
   *
   * @param count the number of tokens requested; at least one
   * @param callback called once, immediately or later; empty if this host is not the issuer
   */
  void issue(TokenRequest request, int count, Consumer<Optional<TokenGrant>> callback);
}
