package org.gatereel.forward.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Copies headers between connections, except for hop-by-hop headers. */
final class HopByHopHeaders {
  private static final Set<String> ALWAYS_EXCLUDED =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length",
          "expect");

  private HopByHopHeaders() {}

  /**
   * Copies all headers except hop-by-hop headers and the excluded ones.
   *
   * @param excluded names in lower case
   */
  static void copy(HttpHeaders from, HttpHeaders to, Set<String> excluded) {
    Set<String> namedInConnection = namedByConnection(from);
    for (Map.Entry<String, String> header : from) {
      String name = header.getKey().toLowerCase(Locale.ROOT);
      if (!ALWAYS_EXCLUDED.contains(name)
          && !namedInConnection.contains(name)
          && !excluded.contains(name)) {
        to.add(header.getKey(), header.getValue());
      }
    }
  }

  private static Set<String> namedByConnection(HttpHeaders headers) {
    Set<String> names = new HashSet<>();
    for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : value.split(",", -1)) {
        names.add(name.strip().toLowerCase(Locale.ROOT));
      }
    }
    return names;
  }
}
