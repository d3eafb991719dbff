package org.gatereel.forward.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.gatereel.core.statement.LimitStatement;
import org.gatereel.core.statement.Statements;
import org.gatereel.forward.HeaderNames;

/** Reads what the head of a target's answer says of the target; the only place that does. */
final class StatementHeaders {
  private StatementHeaders() {}

  static Statements read(HttpHeaders headers, HeaderNames names) {
    return new Statements(
        LimitStatement.of(headers.getAll(names.limit())), unknown(headers, names));
  }

  private static Map<String, String> unknown(HttpHeaders headers, HeaderNames names) {
    Map<String, String> unknown = Map.of();
    for (Map.Entry<String, String> header : headers) {
      String name = header.getKey().toLowerCase(Locale.ROOT);
      if (!names.answers().contains(name)) {
        unknown = unknown.isEmpty() ? new HashMap<>() : unknown;
        unknown.put(name, header.getValue());
      }
    }
    return unknown;
  }
}
