package org.gatereel.core.call;

import java.util.Optional;
import java.util.regex.Pattern;
import org.gatereel.core.model.HostId;

/**
 * The value of a claim's row: who claimed, in which try, for which body.
 *
 * @param nonce drawn anew for each try, so that a claim whose answer was lost is known again
 * @param bodyDigest tells a request that is sent again from another one under the same key
 */
record ClaimValue(HostId host, String nonce, String bodyDigest) {
  private static final Pattern SEPARATOR = Pattern.compile("~");
  private static final int PARTS = 3;

  static Optional<ClaimValue> parse(String text) {
    String[] parts = SEPARATOR.split(text, -1);
    return parts.length == PARTS
        ? Optional.of(new ClaimValue(new HostId(parts[0]), parts[1], parts[2]))
        : Optional.empty();
  }

  @Override
  public String toString() {
    return host + "~" + nonce + "~" + bodyDigest;
  }
}
