package org.gatereel.forward.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import org.gatereel.core.statement.Announcement;
import org.gatereel.core.statement.AnnouncementParser;
import org.gatereel.core.statement.Announcements;
import org.gatereel.forward.HeaderNames;

/** Reads what the head of a target's answer says of the target; the only place that does. */
final class StatementHeaders {
  private StatementHeaders() {}

  static Announcements read(HttpResponse head, HeaderNames names) {
    HttpHeaders headers = head.headers();
    return new Announcements(
        AnnouncementParser.limit(headers.getAll(names.limit())),
        AnnouncementParser.leaving(headers.getAll(names.leaving())),
        rest(head),
        unknown(headers, names));
  }

  /** Only with a refusal does the header say for how long the target wants nothing. */
  private static Announcement<Long> rest(HttpResponse head) {
    int status = head.status().code();
    boolean refuses =
        status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
            || status == HttpResponseStatus.TOO_MANY_REQUESTS.code();
    return refuses
        ? AnnouncementParser.backoffMillis(head.headers().getAll(HttpHeaderNames.RETRY_AFTER))
        : Announcement.none();
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
