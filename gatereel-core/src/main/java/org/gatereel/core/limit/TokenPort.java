package org.gatereel.core.limit;

import java.util.Optional;
import java.util.function.Consumer;
import org.gatereel.core.model.Address;

/** Sends token requests to other hosts. */
public interface TokenPort {
  /**
   * Requests tokens from another host.
   *
   * @param count the number of tokens requested; at least one
   * @param callback called once, later; empty if the host does not respond in time or is not the
   *     issuer
   */
  void requestTokens(
      Address issuer, TokenRequest request, int count, Consumer<Optional<TokenGrant>> callback);
}
