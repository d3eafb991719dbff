package org.gatereel.forward.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
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
import org.gatereel.forward.ControlThread;

/**
 * Closes a connection with 408 (Request Timeout) if a request head is not received in time.
 *
 * <p>While an earlier request awaits its response, the caller would take a 408 for that response.
 * The 408 is therefore delayed until no response is pending, and cancelled if the head is complete
 * by then.
 */
final class RequestHeadTimeoutHandler extends ChannelInboundHandlerAdapter {
  private long timeoutMillis;
  private Runnable onTimeoutSent;
  private ScheduledFuture<?> timer;
  private ChannelHandlerContext context;
  private boolean readingBody;
  private boolean deferred;
  private boolean timedOut;
  private boolean discarding;
  private boolean answered;
  private long begunAtMillis;
  private ByteBuf received;

  RequestHeadTimeoutHandler(long timeoutMillis) {
    this.timeoutMillis = timeoutMillis;
  }

  /** Changes the timeout of later heads. */
  void setTimeoutMillis(long newTimeoutMillis) {
    timeoutMillis = newTimeoutMillis;
  }

  /** Sets what ends the connection after a 408 was written, in place of closing it. */
  void onTimeoutSent(Runnable ending) {
    onTimeoutSent = ending;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext addedContext) {
    context = addedContext;
    if (onTimeoutSent == null) {
      onTimeoutSent = addedContext::close;
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext readContext, Object bytes) throws Exception {
    if (discarding) {
      // The response promises that the request was not executed.
      ReferenceCountUtil.release(bytes);
      return;
    }
    if (timer == null && !readingBody) {
      startHead();
    }
    received = (ByteBuf) bytes;
    super.channelRead(readContext, bytes);
    received = null;
  }

  private void startHead() {
    begunAtMillis = ControlThread.nowMillis();
    timer = context.executor().schedule(this::onTimeout, timeoutMillis, TimeUnit.MILLISECONDS);
  }

  private void onTimeout() {
    if (deferred) {
      timedOut = true;
    } else {
      sendTimeoutResponse();
    }
  }

  private void sendTimeoutResponse() {
    discarding = true;
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, HttpResponseStatus.REQUEST_TIMEOUT, Unpooled.EMPTY_BUFFER);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    context.channel().writeAndFlush(response).addListener(written -> onTimeoutSent.run());
  }

  /** Delays a 408 while a request awaits its response. */
  void deferTimeoutResponse() {
    deferred = true;
  }

  /** Sends a delayed 408 and allows further ones, because no request awaits its response. */
  void allowTimeoutResponse() {
    deferred = false;
    if (timedOut) {
      sendTimeoutResponse();
    }
  }

  /** Discards all bytes that are received from now on. */
  void discardFurtherBytes() {
    discarding = true;
    cancelTimer();
  }

  /** Returns whether part of a request has been received, which has no response yet. */
  boolean isReceiving() {
    return timer != null || (readingBody && !answered);
  }

  /** Returns whether the rest of a request is still to be received. */
  boolean isWithinRequest() {
    return timer != null || readingBody;
  }

  /** Returns the time since the first byte of the request that is being received. */
  long receivingMillis() {
    return ControlThread.nowMillis() - begunAtMillis;
  }

  /** Records that the request that is being received has its response. */
  void onAnswered() {
    answered = true;
  }

  private void onHeadComplete() {
    readingBody = true;
    cancelTimer();
  }

  private void onBodyComplete() {
    readingBody = false;
    answered = false;
    // The decoder reads the received buffer itself, unless it had to merge it with an earlier one.
    boolean hasNextRequest = received != null && received.refCnt() > 0 && received.isReadable();
    if (hasNextRequest && !discarding) {
      startHead();
    }
  }

  private void cancelTimer() {
    timedOut = false;
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) throws Exception {
    cancelTimer();
    super.channelInactive(context);
  }

  /** Notifies the timeout handler of complete heads and bodies; must follow the codec. */
  static final class ParsedMessageObserver extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
      RequestHeadTimeoutHandler headTimeout =
          context.pipeline().get(RequestHeadTimeoutHandler.class);
      if (message instanceof HttpRequest) {
        headTimeout.onHeadComplete();
      }
      if (message instanceof LastHttpContent) {
        headTimeout.onBodyComplete();
      }
      super.channelRead(context, message);
    }
  }
}
