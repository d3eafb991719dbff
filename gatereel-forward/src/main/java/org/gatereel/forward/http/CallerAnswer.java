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

/** Writes the answer to one request of a connection. */
final class CallerAnswer implements CallerPort {
  private static final double MILLIS_PER_SECOND = 1_000;

  private final CallerConnection connection;
  private final Channel channel;
  private final boolean keepAlive;
  private final boolean takesChunks;
  private TargetHead head;
  private byte[] held;
  private boolean headWritten;

  CallerAnswer(
      CallerConnection connection, Channel channel, FullHttpRequest request, boolean keepAlive) {
    this.connection = connection;
    this.channel = channel;
    this.keepAlive = keepAlive;
    this.takesChunks = request.protocolVersion().isKeepAliveDefault();
  }

  @Override
  public void begin(AnswerHead answer) {
    head = (TargetHead) answer;
  }

  /** The first bytes of a plain answer are held, since most have no others: one write is enough. */
  @Override
  public void write(byte[] bytes) {
    if (!headWritten && held == null && !head.isEventStream()) {
      held = bytes;
      return;
    }
    writeHead();
    writeHeld();
    channel.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
    if (!channel.isWritable()) {
      // The caller does not read; to hold its answer without bound would cost all others.
      channel.close();
    }
  }

  private void writeHeld() {
    if (held != null) {
      channel.write(new DefaultHttpContent(Unpooled.wrappedBuffer(held)));
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
      ConnectionEnd.becomesReset(channel);
    }
    channel.write(response);
  }

  private void copyHeaders(HttpHeaders to) {
    HopByHop.copy(head.headers(), to, Set.of());
    if (!staysOpen()) {
      to.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  private boolean staysOpen() {
    boolean unframed = headWritten && !takesChunks;
    return keepAlive && !unframed && !connection.isDraining();
  }

  @Override
  public void finish() {
    if (headWritten) {
      endWritten();
      return;
    }
    byte[] body = held == null ? new byte[0] : held;
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, head.line(), Unpooled.wrappedBuffer(body));
    copyHeaders(response.headers());
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    end(channel.writeAndFlush(response));
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
      ConnectionEnd.becomesOrderly(channel);
    }
  }

  @Override
  public void abort() {
    channel.close();
  }

  @Override
  public void refuse(Refusal refusal, long retryAfterMillis) {
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
    if (!staysOpen()) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    end(channel.writeAndFlush(response));
  }

  private void end(ChannelFuture written) {
    boolean open = staysOpen();
    if (!open) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
    connection.answered(open);
  }
}
