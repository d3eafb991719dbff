package org.gatereel.daemon.callers;

import com.google.common.hash.Hashing;
import io.jooby.Context;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.gatereel.daemon.settings.Settings;

/** Reads the bearer keys of requests; only their hashes are passed on. */
final class BearerKeys {
  private static final String BEARER = "Bearer ";

  private BearerKeys() {}

  /** Returns the SHA-256 of the bearer key in hexadecimal digits; of "" if there is no key. */
  static String credential(Context context) {
    String header = context.header("Authorization").value("");
    String key = header.startsWith(BEARER) ? header.substring(BEARER.length()) : "";
    return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
  }

  /** Returns the name of the operator whose bearer key the request has. */
  static Optional<String> findOperator(Context context, List<Settings.Operator> operators) {
    String credential = credential(context);
    return operators.stream()
        .filter(operator -> operator.keySha256().equals(credential))
        .map(Settings.Operator::name)
        .findFirst();
  }
}
