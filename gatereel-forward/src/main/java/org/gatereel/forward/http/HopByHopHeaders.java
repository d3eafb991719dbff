package org.gatereel.forward.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Copies headers from one connection to another, less those that concern one connection only. */
final class HopByHopHeaders {
  private static final Set<String> ALWAYS =
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

  /** Copies all but hop-by-hop headers and those named in {@code without}, in small letters. */
  static void copy(HttpHeaders from, HttpHeaders to, Set<String> without) {
    Set<String> named = namedByConnection(from);
    for (Map.Entry<String, String> header : from) {
      String name = header.getKey().toLowerCase(Locale.ROOT);
      if (!ALWAYS.contains(name) && !named.contains(name) && !without.contains(name)) {
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
