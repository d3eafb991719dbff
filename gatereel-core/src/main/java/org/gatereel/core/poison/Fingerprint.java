package org.gatereel.core.poison;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.gatereel.core.model.AccountId;

/**
 * Identifies a request by its content and client account, across request ids and hosts.
 *
 * <p>It is made with a collision-resistant hash, so that an account cannot make its requests match
 * those of another one.
 *
 * @param value 32 hexadecimal digits
 */
public record Fingerprint(String value) {
  /** 128 bits: the probability that two of a million requests share one is below 10^-26. */
  private static final int DIGITS = 32;

  private static final int LOGGED_DIGITS = 12;

  /**
   * Makes the fingerprint of a request.
   *
   * @param content a digest of what the target receives
   */
  public static Fingerprint of(Optional<AccountId> account, HashCode content) {
    String hash =
        Hashing.sha256()
            .newHasher()
            .putBytes(content.asBytes())
            .putString(account.map(AccountId::value).orElse(""), StandardCharsets.UTF_8)
            .hash()
            .toString();
    return new Fingerprint(hash.substring(0, DIGITS));
  }

  /** Returns the first digits, for logs. */
  @Override
  public String toString() {
    return value.length() <= LOGGED_DIGITS ? value : value.substring(0, LOGGED_DIGITS);
  }
}
