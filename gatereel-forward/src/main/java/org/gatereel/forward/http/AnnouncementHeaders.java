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

/** Reads what a target announces about itself in the head of a response. */
final class AnnouncementHeaders {
  private AnnouncementHeaders() {}

  static Announcements read(HttpResponse head, HeaderNames names) {
    HttpHeaders headers = head.headers();
    return new Announcements(
        AnnouncementParser.limit(headers.getAll(names.limit())),
        AnnouncementParser.leaving(headers.getAll(names.leaving())),
        backoff(head),
        unknownHeaders(headers, names));
  }

  /** {@code Retry-After} announces a backoff only in a response with status 429 or 503. */
  private static Announcement<Long> backoff(HttpResponse head) {
    int status = head.status().code();
    boolean isRejection =
        status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
            || status == HttpResponseStatus.TOO_MANY_REQUESTS.code();
    return isRejection
        ? AnnouncementParser.backoffMillis(head.headers().getAll(HttpHeaderNames.RETRY_AFTER))
        : Announcement.none();
  }

  private static Map<String, String> unknownHeaders(HttpHeaders headers, HeaderNames names) {
    Map<String, String> unknownHeaders = Map.of();
    for (Map.Entry<String, String> header : headers) {
      String name = header.getKey().toLowerCase(Locale.ROOT);
      if (!names.knownResponseHeaders().contains(name)) {
        unknownHeaders = unknownHeaders.isEmpty() ? new HashMap<>() : unknownHeaders;
        unknownHeaders.put(name, header.getValue());
      }
    }
    return unknownHeaders;
  }
}
