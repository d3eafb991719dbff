package org.gatereel.forward.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Locale;
import org.gatereel.core.forward.ResponseHead;
import org.gatereel.core.statement.Announcements;
import org.gatereel.forward.HeaderNames;

/** The head of a target's response. */
record TargetResponseHead(
    HttpResponseStatus responseStatus,
    HttpHeaders headers,
    boolean declaresNotExecuted,
    boolean isAuthentic,
    boolean isEventStream,
    Announcements announcements)
    implements ResponseHead {
  private static final String EVENT_STREAM = "text/event-stream";

  /**
   * Reads the head of a response.
   *
   * @param requestId the id of the request, which an authentic response repeats
   */
  static TargetResponseHead read(HttpResponse response, String requestId, HeaderNames names) {
    HttpHeaders headers = response.headers();
    boolean hasRequestId = requestId.equals(headers.get(names.requestId()));
    boolean isUnencoded = !headers.contains(HttpHeaderNames.CONTENT_ENCODING);
    boolean isSigned = headers.contains(names.signature());
    int status = response.status().code();
    boolean isMisdirected = status == HttpResponseStatus.MISDIRECTED_REQUEST.code();
    String contentType = headers.get(HttpHeaderNames.CONTENT_TYPE, "").toLowerCase(Locale.ROOT);
    return new TargetResponseHead(
        response.status(),
        headers,
        headers.contains(names.notExecuted()) || isMisdirected,
        hasRequestId && isUnencoded && isSigned,
        contentType.startsWith(EVENT_STREAM),
        AnnouncementHeaders.read(response, names));
  }

  @Override
  public int status() {
    return responseStatus.code();
  }
}
