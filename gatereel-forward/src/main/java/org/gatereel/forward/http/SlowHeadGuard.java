package org.gatereel.forward.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Ends a connection whose caller takes too long over the head of a request. */
final class SlowHeadGuard extends ChannelInboundHandlerAdapter {
  private final long millis;
  private ScheduledFuture<?> timer;
  private boolean withinBody;

  SlowHeadGuard(long millis) {
    this.millis = millis;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object bytes) throws Exception {
    if (timer == null && !withinBody) {
      timer = context.executor().schedule(() -> refuse(context), millis, TimeUnit.MILLISECONDS);
    }
    super.channelRead(context, bytes);
  }

  private static void refuse(ChannelHandlerContext context) {
    DefaultFullHttpResponse answer =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.REQUEST_TIMEOUT, Unpooled.EMPTY_BUFFER);
    answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    context.channel().writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
  }

  /** An answer is owed; a refusal before it would be taken for it. */
  void holdBack() {}

  /** All answers that were owed are given. */
  void letGo() {}

  private void headSeen() {
    withinBody = true;
    stop();
  }

  private void bodySeen() {
    withinBody = false;
  }

  private void stop() {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) throws Exception {
    stop();
    super.channelInactive(context);
  }

  /** Sits behind the codec and tells the guard where a head or a body ends. */
  static final class HeadSeen extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
      SlowHeadGuard guard = context.pipeline().get(SlowHeadGuard.class);
      if (message instanceof HttpRequest) {
        guard.headSeen();
      }
      if (message instanceof LastHttpContent) {
        guard.bodySeen();
      }
      super.channelRead(context, message);
    }
  }
}
