package org.gatereel.daemon.callers;

import com.google.common.hash.Hashing;
import io.jooby.Context;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.gatereel.daemon.settings.Settings;

/** Reads bearer keys; only their hashes go any further. */
final class BearerKeys {
  private static final String BEARER = "Bearer ";

  private BearerKeys() {}

  /** Returns the SHA-256 of a request's bearer key; of an empty text if it has none. */
  static String credential(Context context) {
    String header = context.header("Authorization").value("");
    String key = header.startsWith(BEARER) ? header.substring(BEARER.length()) : "";
    return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
  }

  /** Returns the operator whose key a request has. */
  static Optional<String> findOperator(Context context, List<Settings.Operator> operators) {
    String credential = credential(context);
    return operators.stream()
        .filter(operator -> operator.keySha256().equals(credential))
        .map(Settings.Operator::name)
        .findFirst();
  }
}
