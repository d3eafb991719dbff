package org.gatereel.core.poison;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.gatereel.core.model.AccountId;

/**
 * What makes a request the same one when it comes again, under another id and at another host.
 *
 * <p>It is made of the client account and of all that a target is given to work on, by a hash for
 * which nobody can find two inputs: no account can make its requests look like another one's.
 *
 * @param value 32 hexadecimal digits
 */
public record Fingerprint(String value) {
  /** 128 bits: a million requests share one by chance once in some 10^26 times. */
  private static final int DIGITS = 32;

  private static final int SHOWN_DIGITS = 12;

  /**
   * Makes the fingerprint of a request.
   *
   * @param content a digest of what the target is given
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

  /** Returns enough of it to be found in a log. */
  @Override
  public String toString() {
    return value.length() <= SHOWN_DIGITS ? value : value.substring(0, SHOWN_DIGITS);
  }
}
