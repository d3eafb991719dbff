package org.gatereel.forward.http;

import io.netty.channel.ChannelHandler;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.util.List;
import java.util.Optional;
import org.gatereel.core.forward.ResponseEnd;

/**
 * Determines how the body of a target's response is delimited.
 *
 * <p>The decoder rejects conflicting lengths, a length combined with chunks, and chunks in
 * HTTP/1.0. This class rejects other ambiguous framing, which the decoder would accept.
 */
final class ResponseFraming {
  private static final int MAX_INITIAL_LINE_BYTES = 8_192;
  private static final int MAX_HEAD_BYTES = 65_536;
  private static final int MAX_CHUNK_BYTES = 65_536;

  private ResponseFraming() {}

  /** Returns a codec for a connection whose requests have the given method. */
  static ChannelHandler codec(HttpMethod requestMethod) {
    HttpDecoderConfig decoderConfig =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
            .setMaxHeaderSize(MAX_HEAD_BYTES)
            .setMaxChunkSize(MAX_CHUNK_BYTES)
            .setAllowDuplicateContentLengths(false)
            .setStrictLineParsing(true)
            .setUseRfc9112TransferEncoding(true);
    return new CombinedChannelDuplexHandler<>(
        new StrictResponseDecoder(decoderConfig, requestMethod), new HttpRequestEncoder());
  }

  /**
   * Returns what marks the end of a response; empty if the framing is ambiguous or unsupported.
   *
   * <p>Transfer codings other than chunked are unsupported: {@code Transfer-Encoding} is not
   * forwarded to callers, so they would read the encoded bytes as the body.
   *
   * @param requestMethod the method of the request
   * @param head the head of a response that is not interim
   */
  static Optional<ResponseEnd> endOf(HttpMethod requestMethod, HttpResponse head) {
    if (switchesProtocol(requestMethod, head)) {
      return Optional.empty();
    }
    if (hasNoBody(requestMethod, head)) {
      return Optional.of(ResponseEnd.LENGTH_REACHED);
    }
    List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    if (!codings.isEmpty()) {
      return isChunkedOnly(codings) ? Optional.of(ResponseEnd.LAST_CHUNK) : Optional.empty();
    }
    return Optional.of(
        HttpUtil.isContentLengthSet(head)
            ? ResponseEnd.LENGTH_REACHED
            : ResponseEnd.CONNECTION_CLOSED);
  }

  /** Returns whether this is an interim (1xx) head, which the final head follows. */
  static boolean isInterim(HttpResponse head) {
    return head.status().codeClass() == HttpStatusClass.INFORMATIONAL
        && !head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
  }

  private static boolean switchesProtocol(HttpMethod requestMethod, HttpResponse head) {
    boolean tunnel =
        requestMethod.equals(HttpMethod.CONNECT)
            && head.status().codeClass() == HttpStatusClass.SUCCESS;
    return tunnel || head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS);
  }

  private static boolean hasNoBody(HttpMethod requestMethod, HttpResponse head) {
    return requestMethod.equals(HttpMethod.HEAD)
        || head.status().equals(HttpResponseStatus.NO_CONTENT)
        || head.status().equals(HttpResponseStatus.NOT_MODIFIED);
  }

  private static boolean isChunkedOnly(List<String> codings) {
    return codings.size() == 1
        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).strip());
  }
}
