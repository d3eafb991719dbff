package org.gatereel.forward.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Locale;
import org.gatereel.core.forward.AnswerHead;
import org.gatereel.core.statement.Announcements;
import org.gatereel.forward.HeaderNames;

/** The head of a target's answer, with the headers that the caller is given. */
record TargetHead(
    HttpResponseStatus line,
    HttpHeaders headers,
    boolean declaresNotRun,
    boolean isAuthentic,
    boolean isEventStream,
    Announcements statements)
    implements AnswerHead {
  private static final String EVENT_STREAM = "text/event-stream";

  /** Reads the head of an answer to the request with the given id. */
  static TargetHead read(HttpResponse response, String requestId, HeaderNames names) {
    HttpHeaders headers = response.headers();
    boolean named = requestId.equals(headers.get(names.requestId()));
    boolean plain = !headers.contains(HttpHeaderNames.CONTENT_ENCODING);
    boolean signed = headers.contains(names.signature());
    int status = response.status().code();
    boolean misdirected = status == HttpResponseStatus.MISDIRECTED_REQUEST.code();
    String type = headers.get(HttpHeaderNames.CONTENT_TYPE, "").toLowerCase(Locale.ROOT);
    return new TargetHead(
        response.status(),
        headers,
        headers.contains(names.notRun()) || misdirected,
        named && plain && signed,
        type.startsWith(EVENT_STREAM),
        StatementHeaders.read(response, names));
  }

  @Override
  public int status() {
    return line.code();
  }
}
