package org.gatereel.core.poison;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.gatereel.core.model.AccountId;

/**
 * Identifies a feature of requests that may crash targets, across request ids and hosts: a whole
 * request by its content, prompt and client account, a request with any prompt, or one part of a
 * prompt.
 *
 * <p>It is made with a collision-resistant hash, so that an account cannot make its requests match
 * those of another one. A part of a prompt may be shared by accounts.
 *
 * @param value 32 characters: hexadecimal digits, for a part after a prefix
 */
public record Fingerprint(String value) {
  /** 128 bits: the probability that two of a million requests share one is below 10^-26. */
  private static final int DIGITS = 32;

  private static final int LOGGED_DIGITS = 12;
  private static final String PART_PREFIX = "part-";

  /**
   * Makes the fingerprint of a request.
   *
   * @param content a digest of what the target receives, without the prompt that headers name
   * @param prompt the prompt that headers name; empty if none do
   */
  public static Fingerprint of(Optional<AccountId> account, HashCode content, String prompt) {
    Hasher hasher = Hashing.sha256().newHasher().putBytes(content.asBytes());
    if (!prompt.isEmpty()) {
      hasher.putBytes(Hashing.sha256().hashString(prompt, StandardCharsets.UTF_8).asBytes());
    }
    hasher.putString(account.map(AccountId::value).orElse(""), StandardCharsets.UTF_8);
    return new Fingerprint(hasher.hash().toString().substring(0, DIGITS));
  }

  /** Makes the fingerprint that requests share which differ only in the prompt. */
  static Fingerprint ofAnyPrompt(Optional<AccountId> account, HashCode content) {
    return ofPart(of(account, content, "").value());
  }

  /**
   * Makes the fingerprint of a part of a prompt.
   *
   * @param name the name of the part
   */
  public static Fingerprint ofPart(String name) {
    String hash = Hashing.sha256().hashString(name, StandardCharsets.UTF_8).toString();
    return new Fingerprint(PART_PREFIX + hash.substring(0, DIGITS - PART_PREFIX.length()));
  }

  /**
   * Returns whether different requests may share this feature: a part of a prompt, or a request
   * with any prompt.
   */
  public boolean isPart() {
    return value.startsWith(PART_PREFIX);
  }

  /** Returns the first characters, for logs. */
  @Override
  public String toString() {
    return value.length() <= LOGGED_DIGITS ? value : value.substring(0, LOGGED_DIGITS);
  }
}
