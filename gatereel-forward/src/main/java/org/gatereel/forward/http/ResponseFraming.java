package org.gatereel.forward.http;

import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.util.List;
import java.util.Optional;
import org.gatereel.core.forward.AnswerEnd;

/**
 * How targets' answers are framed.
 *
 * <p>The decoder refuses contradictory lengths, a length beside chunks, and chunks in HTTP/1.0;
 * what is left to judge here is what the decoder would read by a guess.
 */
final class ResponseFraming {
  private static final int LONGEST_LINE = 8_192;
  private static final int LONGEST_HEAD = 65_536;
  private static final int LARGEST_CHUNK = 65_536;

  private ResponseFraming() {}

  /** Returns a codec for one connection to a target. */
  static HttpClientCodec codec() {
    HttpDecoderConfig strict =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(LONGEST_LINE)
            .setMaxHeaderSize(LONGEST_HEAD)
            .setMaxChunkSize(LARGEST_CHUNK)
            .setAllowDuplicateContentLengths(false)
            .setStrictLineParsing(true)
            .setUseRfc9112TransferEncoding(true);
    return new HttpClientCodec(strict, false, false);
  }

  /**
   * Returns by what the end of an answer will be known; empty if that is in doubt.
   *
   * <p>A coding other than chunks is in doubt even if its end is known: callers are not told of the
   * coding, and would take the coded bytes for the answer.
   *
   * @param asked the method of the request
   * @param head the head of an answer that is not interim
   */
  static Optional<AnswerEnd> endOf(HttpMethod asked, HttpResponse head) {
    if (leavesHttp(asked, head)) {
      return Optional.empty();
    }
    if (hasNoBody(asked, head)) {
      return Optional.of(AnswerEnd.LENGTH_REACHED);
    }
    List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    if (!codings.isEmpty()) {
      return isJustChunks(codings) ? Optional.of(AnswerEnd.LAST_CHUNK) : Optional.empty();
    }
    return Optional.of(
        HttpUtil.isContentLengthSet(head) ? AnswerEnd.LENGTH_REACHED : AnswerEnd.CONNECTION_CLOSED);
  }

  /** Returns whether other heads will follow this one before the answer. */
  static boolean isInterim(HttpResponse head) {
    return head.status().codeClass() == HttpStatusClass.INFORMATIONAL
        && !head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
  }

  private static boolean leavesHttp(HttpMethod asked, HttpResponse head) {
    boolean tunnel =
        asked.equals(HttpMethod.CONNECT) && head.status().codeClass() == HttpStatusClass.SUCCESS;
    return tunnel || head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
  }

  private static boolean hasNoBody(HttpMethod asked, HttpResponse head) {
    return asked.equals(HttpMethod.HEAD)
        || head.status().equals(HttpResponseStatus.NO_CONTENT)
        || head.status().equals(HttpResponseStatus.NOT_MODIFIED);
  }

  private static boolean isJustChunks(List<String> codings) {
    return codings.size() == 1
        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).strip());
  }
}
