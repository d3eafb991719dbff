package org.gatereel.core.call;

import java.util.Optional;
import java.util.regex.Pattern;
import org.gatereel.core.model.HostId;

/**
 * The value of a claim's row.
 *
 * @param host the host that claimed the key
 * @param nonce a random value for each write, by which a host recognizes its own claim when the
 *     response to the write was lost
 * @param bodyDigest distinguishes a repeated request from another request with the same key
 */
record ClaimValue(HostId host, String nonce, String bodyDigest) {
  private static final Pattern SEPARATOR = Pattern.compile("~");
  private static final int FIELD_COUNT = 3;

  static Optional<ClaimValue> parse(String text) {
    String[] fields = SEPARATOR.split(text, -1);
    return fields.length == FIELD_COUNT
        ? Optional.of(new ClaimValue(new HostId(fields[0]), fields[1], fields[2]))
        : Optional.empty();
  }

  @Override
  public String toString() {
    return host + "~" + nonce + "~" + bodyDigest;
  }
}
