package org.gatereel.forward.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gatereel.core.forward.Exchange;
import org.gatereel.core.forward.Refusal;

/**
 * One caller's connection: its requests are answered one after the other, in their order.
 *
 * <p>Reading goes on while a request is being answered, because only so is it noticed that the
 * caller has gone.
 */
final class CallerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
  private static final int MOST_WAITING = 8;

  private final CallerServer server;
  private final Channel channel;
  private final RequestHeadTimeoutHandler guard;
  private final PipelineQueue<FullHttpRequest> requests = new PipelineQueue<>();
  private Optional<Exchange> exchange = Optional.empty();
  private ScheduledFuture<?> idleTimer;

  CallerConnection(CallerServer server, Channel channel, RequestHeadTimeoutHandler guard) {
    this.server = server;
    this.channel = channel;
    this.guard = guard;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) throws Exception {
    super.channelActive(context);
    startIdleTimer();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    if (requests.offer(request)) {
      handle(request);
      return;
    }
    request.retain();
    if (requests.size() > MOST_WAITING) {
      channel.config().setAutoRead(false);
    }
  }

  private void handle(FullHttpRequest request) {
    stopIdleTimer();
    guard.deferTimeoutResponse();
    CallerResponseWriter mine = new CallerResponseWriter(this, channel, request, mayStayOpen(request));
    if (request.decoderResult().isFailure()) {
      mine.refuse(refusal(request.decoderResult().cause()), 0);
      return;
    }
    if (request.method().equals(HttpMethod.CONNECT)) {
      // What follows a success is a tunnel's bytes, without a frame that would show a cut.
      mine.refuse(Refusal.MALFORMED, 0);
      return;
    }
    try {
      IncomingRequest incoming = IncomingRequest.read(request, server.names());
      server.control().run(() -> exchange = accept(incoming, mine));
    } catch (MalformedRequestException e) {
      mine.refuse(Refusal.MALFORMED, 0);
    }
  }

  private static boolean mayStayOpen(FullHttpRequest request) {
    // A caller that waits to be asked for its body sends either that or its next request.
    boolean nextIsKnown =
        request.decoderResult().isSuccess()
            || (isBodyTooLong(request.decoderResult().cause())
                && !HttpUtil.is100ContinueExpected(request));
    return HttpUtil.isKeepAlive(request)
        && nextIsKnown
        && !request.method().equals(HttpMethod.CONNECT);
  }

  private static boolean isBodyTooLong(Throwable cause) {
    return cause instanceof TooLongHttpContentException;
  }

  private Optional<Exchange> accept(IncomingRequest incoming, CallerResponseWriter mine) {
    return server.forwarder().accept(incoming, mine);
  }

  private static Refusal refusal(Throwable cause) {
    if (isBodyTooLong(cause)) {
      return Refusal.BODY_TOO_LARGE;
    }
    boolean tooLong =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
    return tooLong ? Refusal.HEAD_TOO_LARGE : Refusal.MALFORMED;
  }

  /** An answer was written to its end. */
  void onResponseComplete(boolean keepAlive) {
    exchange = Optional.empty();
    if (!keepAlive) {
      return;
    }
    startIdleTimer();
    // Not from within the answer before, which may still be in the middle of a decision.
    requests
        .completeCurrent()
        .ifPresentOrElse(
            next -> channel.eventLoop().execute(() -> handleWaiting(next)), this::answersGiven);
  }

  /** All answers that were owed are given; what waited for that may be written now. */
  private void answersGiven() {
    guard.allowTimeoutResponse();
    channel.pipeline().fireUserEventTriggered(CallerEvent.ALL_ANSWERED);
  }

  private void handleWaiting(FullHttpRequest next) {
    try {
      if (channel.isActive()) {
        channel.config().setAutoRead(true);
        handle(next);
      }
    } finally {
      next.release();
    }
  }

  /** Returns whether an answer is owed. */
  boolean hasPendingResponse() {
    return !requests.isIdle();
  }

  boolean isDraining() {
    return server.isDraining();
  }

  void closeIfIdle() {
    if (requests.isIdle()) {
      channel.close();
    }
  }

  /** Closes, also in the middle of an answer, which is then cut. */
  void close() {
    channel.close();
  }

  private void startIdleTimer() {
    stopIdleTimer();
    long millis = server.limits().idleMillis();
    idleTimer = channel.eventLoop().schedule(this::closeIfIdle, millis, TimeUnit.MILLISECONDS);
  }

  private void stopIdleTimer() {
    if (idleTimer != null) {
      idleTimer.cancel(false);
      idleTimer = null;
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) throws Exception {
    stopIdleTimer();
    server.removeConnection(this);
    requests.drain().forEach(FullHttpRequest::release);
    exchange.ifPresent(open -> server.control().run(open::callerGone));
    exchange = Optional.empty();
    super.channelInactive(context);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
