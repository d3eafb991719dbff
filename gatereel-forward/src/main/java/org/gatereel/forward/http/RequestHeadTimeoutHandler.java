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
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Ends a connection whose caller takes too long over the head of a request.
 *
 * <p>A caller that is owed an answer would take the refusal for it; so the refusal waits until all
 * answers are given, and is dropped if the head comes until then.
 */
final class RequestHeadTimeoutHandler extends ChannelInboundHandlerAdapter {
  private final long millis;
  private ScheduledFuture<?> timer;
  private ChannelHandlerContext context;
  private boolean withinBody;
  private boolean heldBack;
  private boolean late;
  private boolean refused;

  RequestHeadTimeoutHandler(long millis) {
    this.millis = millis;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  @Override
  public void channelRead(ChannelHandlerContext reading, Object bytes) throws Exception {
    if (refused) {
      // The caller was told that nothing of this ran.
      ReferenceCountUtil.release(bytes);
      return;
    }
    if (timer == null && !withinBody) {
      timer = context.executor().schedule(this::timeIsUp, millis, TimeUnit.MILLISECONDS);
    }
    super.channelRead(reading, bytes);
  }

  private void timeIsUp() {
    if (heldBack) {
      late = true;
    } else {
      refuse();
    }
  }

  private void refuse() {
    refused = true;
    DefaultFullHttpResponse answer =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.REQUEST_TIMEOUT, Unpooled.EMPTY_BUFFER);
    answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    context.channel().writeAndFlush(answer).addListener(ChannelFutureListener.CLOSE);
  }

  /** An answer is owed; a refusal before it would be taken for it. */
  void deferTimeoutResponse() {
    heldBack = true;
  }

  /** All answers that were owed are given. */
  void allowTimeoutResponse() {
    heldBack = false;
    if (late) {
      refuse();
    }
  }

  private void headSeen() {
    withinBody = true;
    stop();
  }

  private void bodySeen() {
    withinBody = false;
  }

  private void stop() {
    late = false;
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
  static final class ParsedMessageObserver extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
      RequestHeadTimeoutHandler guard = context.pipeline().get(RequestHeadTimeoutHandler.class);
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
