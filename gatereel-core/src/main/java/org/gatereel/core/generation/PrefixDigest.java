package org.gatereel.core.generation;

import com.google.common.hash.HashCode;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * A digest of the tokens before an offset.
 *
 * <p>Every event id contains one. A host that resumes a generation compares it with the digest of
 * its own tokens, so that tokens of different generations are never joined.
 */
public final class PrefixDigest {
  /** The digest of no tokens. */
  public static final long EMPTY = 0x9E3779B97F4A7C15L;

  private static final HashFunction SIP = Hashing.sipHash24();

  private PrefixDigest() {}

  /** Returns the digest of the prefix with the digest {@code digest}, extended by one token. */
  public static long extend(long digest, String token) {
    HashCode hash = SIP.newHasher().putLong(digest).putString(token, StandardCharsets.UTF_8).hash();
    return hash.asLong();
  }

  /** Returns the digest of the first {@code length} tokens. */
  public static long of(List<String> tokens, int length) {
    long digest = EMPTY;
    for (int index = 0; index < length; index++) {
      digest = extend(digest, tokens.get(index));
    }
    return digest;
  }
}
