package org.gatereel.core.limit;

import java.util.Optional;
import java.util.function.Consumer;
import org.gatereel.core.model.Address;

/** The way to hosts that lend what all hosts share. */
public interface TokenPort {
  /**
   * Asks another host for a loan.
   *
   * @param count how many, at least one
   * @param answer is told once, later, what is lent; empty if the host does not answer in time or
   *     does not lend this
   */
  void requestTokens(
      Address lender, TokenRequest subject, int count, Consumer<Optional<TokenGrant>> answer);
}
