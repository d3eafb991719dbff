package org.gatereel.forward.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
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
import org.gatereel.core.forward.AnswerHead;
import org.gatereel.core.forward.CallerPort;
import org.gatereel.core.forward.Refusal;

/**
 * Writes the answer to one request of a connection.
 *
 * <p>A caller sees where an answer ends by a length, by the last chunk, by its head alone where no
 * body can follow, or, without chunks, by the end of the connection. Nothing is written after the
 * final call, nor after the connection was closed for a caller that does not read.
 */
final class CallerResponseWriter implements CallerPort {
  private static final double MILLIS_PER_SECOND = 1_000;

  private final CallerConnection connection;
  private final Channel channel;
  private final boolean keepAlive;
  private final boolean takesChunks;
  private final boolean isForHead;
  private TargetResponseHead head;
  private byte[] held;
  private boolean headWritten;
  private boolean over;

  CallerResponseWriter(
      CallerConnection connection, Channel channel, FullHttpRequest request, boolean keepAlive) {
    this.connection = connection;
    this.channel = channel;
    this.keepAlive = keepAlive;
    this.takesChunks = request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
    this.isForHead = request.method().equals(HttpMethod.HEAD);
  }

  @Override
  public void begin(AnswerHead answer) {
    head = (TargetResponseHead) answer;
  }

  /** The first bytes of a plain answer are held, since most have no others: one write is enough. */
  @Override
  public void write(byte[] bytes) {
    if (over || isBodiless()) {
      return;
    }
    if (!headWritten && held == null && !head.isEventStream()) {
      held = bytes;
      return;
    }
    writeHead();
    writeHeld();
    writePart(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
    channel.flush();
    if (!channel.isWritable()) {
      // The caller does not read; to hold its answer without bound would cost all others.
      abort();
    }
  }

  /** Returns whether the answer ends with its head, whatever the head says. */
  private boolean isBodiless() {
    return isForHead
        || head.line().equals(HttpResponseStatus.NO_CONTENT)
        || head.line().equals(HttpResponseStatus.NOT_MODIFIED);
  }

  private void writeHeld() {
    if (held != null) {
      writePart(new DefaultHttpContent(Unpooled.wrappedBuffer(held)));
      held = null;
    }
  }

  private void writeHead() {
    if (headWritten) {
      return;
    }
    headWritten = true;
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.line());
    copyHeaders(response.headers());
    if (takesChunks) {
      response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    } else {
      // Before the first byte leaves: from then on the connection may end at any moment.
      CloseMode.resetOnClose(channel);
    }
    writePart(response);
  }

  /**
   * Writes a part whose failure ends the connection.
   *
   * <p>A write can fail by itself, as where memory for its buffer lacks; what came after it would
   * make the answer look complete.
   */
  private void writePart(HttpObject part) {
    channel.write(part).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
  }

  private void copyHeaders(HttpHeaders to) {
    HopByHopHeaders.copy(head.headers(), to, Set.of());
    tellWhetherItStaysOpen(to);
  }

  private void tellWhetherItStaysOpen(HttpHeaders headers) {
    if (!staysOpen()) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    } else if (!takesChunks) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.KEEP_ALIVE);
    }
  }

  private boolean staysOpen() {
    boolean unframed = headWritten && !takesChunks;
    return keepAlive && !unframed && !connection.isDraining();
  }

  @Override
  public void finish() {
    if (over) {
      return;
    }
    over = true;
    if (headWritten) {
      endWritten();
    } else {
      writeWhole();
    }
  }

  private void writeWhole() {
    byte[] body = held == null ? new byte[0] : held;
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, head.line(), Unpooled.wrappedBuffer(body));
    copyHeaders(response.headers());
    if (isBodiless()) {
      copyLength(response.headers());
    } else {
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    }
    end(channel.writeAndFlush(response));
  }

  /** The length of the body that a GET would bring, or has brought, is for the target to tell. */
  private void copyLength(HttpHeaders to) {
    String length = head.headers().get(HttpHeaderNames.CONTENT_LENGTH);
    if (length != null) {
      to.set(HttpHeaderNames.CONTENT_LENGTH, length);
    }
  }

  private void endWritten() {
    ChannelFuture written = channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    if (!takesChunks) {
      written.addListener(this::allWritten);
    }
    end(written);
  }

  /** A reset would throw away what is not yet sent, so the system has to have the last byte. */
  private void allWritten(Future<? super Void> written) {
    if (written.isSuccess()) {
      CloseMode.closeGracefully(channel);
    }
  }

  @Override
  public void abort() {
    over = true;
    channel.close();
  }

  @Override
  public void refuse(Refusal refusal, long retryAfterMillis) {
    if (over) {
      return;
    }
    if (headWritten) {
      // It would be read as the rest of the answer that was begun.
      abort();
      return;
    }
    over = true;
    byte[] body =
        ("{\"type\":\"" + refusal.name().toLowerCase(Locale.ROOT) + "\"}")
            .getBytes(StandardCharsets.UTF_8);
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(refusal.status()),
            Unpooled.wrappedBuffer(body));
    HttpHeaders headers = response.headers();
    headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    if (refusal.invitesRetry()) {
      headers.set(
          HttpHeaderNames.RETRY_AFTER, Double.toString(retryAfterMillis / MILLIS_PER_SECOND));
    }
    tellWhetherItStaysOpen(headers);
    end(channel.writeAndFlush(response));
  }

  private void end(ChannelFuture written) {
    boolean open = staysOpen();
    // Behind an end that could not be written, the next answer would be read as part of this one.
    written.addListener(
        open ? ChannelFutureListener.CLOSE_ON_FAILURE : ChannelFutureListener.CLOSE);
    connection.onResponseComplete(open);
  }
}
