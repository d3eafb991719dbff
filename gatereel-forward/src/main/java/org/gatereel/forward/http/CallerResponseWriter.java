package org.gatereel.forward.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Set;
import org.gatereel.core.forward.CallerPort;
import org.gatereel.core.forward.Rejection;
import org.gatereel.core.forward.ResponseHead;
import org.gatereel.forward.CloseMode;

/**
 * Writes the response to one request of a caller's connection.
 *
 * <p>The end of a response is marked by its length, by the last chunk, by the head if there is no
 * body, or, for callers without chunk support, by the end of the connection. Nothing is written
 * after the final call, nor after the connection was closed because the caller does not read.
 */
final class CallerResponseWriter implements CallerPort {
  private static final double MILLIS_PER_SECOND = 1_000;

  private final CallerConnection connection;
  private final Channel channel;
  private final boolean keepAlive;
  private final boolean supportsChunks;
  private final boolean isHeadRequest;
  private TargetResponseHead head;
  private byte[] bufferedBytes;
  private boolean headWritten;
  private boolean keptOpen;
  private boolean finished;

  CallerResponseWriter(
      CallerConnection connection,
      Channel channel,
      HttpVersion version,
      HttpMethod method,
      boolean keepAlive) {
    this.connection = connection;
    this.channel = channel;
    this.keepAlive = keepAlive;
    this.supportsChunks = version.compareTo(HttpVersion.HTTP_1_1) >= 0;
    this.isHeadRequest = method.equals(HttpMethod.HEAD);
  }

  @Override
  public void begin(ResponseHead responseHead) {
    head = (TargetResponseHead) responseHead;
  }

  /**
   * Buffers the first bytes unless the response is an event stream: most responses have no more,
   * and are then sent in a single write.
   */
  @Override
  public void write(byte[] bytes) {
    if (finished || isBodiless()) {
      return;
    }
    if (!headWritten && bufferedBytes == null && !head.isEventStream()) {
      bufferedBytes = bytes;
      return;
    }
    writeHead();
    writeBuffered();
    writeOrClose(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
  }

  @Override
  public void flush() {
    if (finished || !headWritten) {
      return;
    }
    channel.flush();
    if (!channel.isWritable()) {
      // The caller does not read. Buffering more would use memory without a bound.
      abort();
    }
  }

  @Override
  public boolean hasSent() {
    return headWritten;
  }

  /** Returns whether the response has no body, regardless of its headers. */
  private boolean isBodiless() {
    return isHeadRequest
        || head.responseStatus().equals(HttpResponseStatus.NO_CONTENT)
        || head.responseStatus().equals(HttpResponseStatus.NOT_MODIFIED);
  }

  private void writeBuffered() {
    if (bufferedBytes != null) {
      writeOrClose(new DefaultHttpContent(Unpooled.wrappedBuffer(bufferedBytes)));
      bufferedBytes = null;
    }
  }

  private void writeHead() {
    if (headWritten) {
      return;
    }
    headWritten = true;
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.responseStatus());
    copyHeaders(response.headers());
    if (supportsChunks) {
      response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    } else {
      // Must precede the first byte: the connection can end at any time after it.
      CloseMode.resetOnClose(channel);
    }
    writeOrClose(response);
  }

  /**
   * Writes an object and closes the connection if the write fails.
   *
   * <p>A single write can fail on an open connection, for example when a buffer cannot be
   * allocated. Later writes would then make the incomplete response look complete.
   */
  private void writeOrClose(HttpObject object) {
    channel.write(object).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
  }

  private void copyHeaders(HttpHeaders to) {
    HopByHopHeaders.copy(head.headers(), to, Set.of());
    setConnectionHeader(to);
  }

  /** Decides whether the connection is kept open, and tells the caller. */
  private void setConnectionHeader(HttpHeaders headers) {
    boolean endsWithConnection = headWritten && !supportsChunks;
    keptOpen = keepAlive && !endsWithConnection && !connection.endsWithCurrentResponse();
    if (!keptOpen) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    } else if (!supportsChunks) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
    }
  }

  @Override
  public void finish() {
    if (finished) {
      return;
    }
    if (headWritten) {
      finished = true;
      finishStarted();
    } else {
      writeComplete();
    }
  }

  private void writeComplete() {
    byte[] body = bufferedBytes == null ? new byte[0] : bufferedBytes;
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, head.responseStatus(), Unpooled.wrappedBuffer(body));
    copyHeaders(response.headers());
    if (isBodiless()) {
      copyContentLength(response.headers());
    } else {
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    }
    // Until here a failure can be answered with a rejection.
    finished = true;
    completeWhenWritten(channel.writeAndFlush(response));
  }

  /** A response without a body keeps the target's length: it describes the body of a GET. */
  private void copyContentLength(HttpHeaders to) {
    String length = head.headers().get(HttpHeaderNames.CONTENT_LENGTH);
    if (length != null) {
      to.set(HttpHeaderNames.CONTENT_LENGTH, length);
    }
  }

  private void finishStarted() {
    ChannelFuture written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    if (!supportsChunks) {
      written.addListener(this::onLastByteWritten);
    }
    completeWhenWritten(written);
  }

  /** Called when the operating system has the last byte; a reset before would discard data. */
  private void onLastByteWritten(Future<? super Void> written) {
    if (written.isSuccess()) {
      CloseMode.closeGracefully(channel);
    }
  }

  /** Truncates a response whose head is written; rejects the request otherwise. */
  @Override
  public void abort() {
    if (headWritten || finished) {
      finished = true;
      connection.close(CloseReason.BROKEN_RESPONSE);
    } else {
      reject(Rejection.TARGET_FAILED, 0);
    }
  }

  @Override
  public void reject(Rejection rejection, long retryAfterMillis) {
    if (finished) {
      return;
    }
    if (headWritten) {
      // The caller would read a rejection as the rest of the response already begun.
      abort();
      return;
    }
    finished = true;
    byte[] body =
        ("{\"type\":\"" + rejection.name().toLowerCase(Locale.ROOT) + "\"}")
            .getBytes(StandardCharsets.UTF_8);
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(rejection.status()),
            Unpooled.wrappedBuffer(body));
    HttpHeaders headers = response.headers();
    headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    if (rejection.allowsRetry()) {
      headers.set(
          HttpHeaderNames.RETRY_AFTER, Double.toString(retryAfterMillis / MILLIS_PER_SECOND));
    }
    setConnectionHeader(headers);
    completeWhenWritten(channel.writeAndFlush(response));
  }

  private void completeWhenWritten(ChannelFuture written) {
    connection.onResponseComplete(keptOpen);
    written.addListener(end -> connection.onResponseWritten(end.isSuccess(), keptOpen));
  }
}
