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
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gatereel.core.forward.Exchange;
import org.gatereel.core.forward.Rejection;
import org.gatereel.forward.ControlThread;

/**
 * A caller's connection, whose requests are handled one at a time in the order received.
 *
 * <p>Reading continues while a request is handled, so that a disconnect of the caller is detected.
 */
final class CallerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
  private static final int MAX_QUEUED_REQUESTS = 8;

  private final CallerServer server;
  private final Channel channel;
  private final RequestHeadTimeoutHandler headTimeout;
  private final PipelineQueue<FullHttpRequest> requests = new PipelineQueue<>();
  private final long openedAtMillis = ControlThread.nowMillis();
  private Optional<Exchange> currentExchange = Optional.empty();
  private ScheduledFuture<?> idleTimer;
  private CloseReason closeReason = CloseReason.CALLER;
  private String lastRequestId = "none";
  private long receivedAtMillis = openedAtMillis;
  private boolean hasReceivedRequest;
  private boolean hasLastResponse;
  private int unwrittenResponses;

  CallerConnection(CallerServer server, Channel channel, RequestHeadTimeoutHandler headTimeout) {
    this.server = server;
    this.channel = channel;
    this.headTimeout = headTimeout;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) throws Exception {
    super.channelActive(context);
    startIdleTimer();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    hasReceivedRequest = true;
    receivedAtMillis = ControlThread.nowMillis();
    if (requests.offer(request)) {
      handle(request);
      return;
    }
    request.retain();
    if (requests.size() > MAX_QUEUED_REQUESTS) {
      channel.config().setAutoRead(false);
    }
  }

  private void handle(FullHttpRequest request) {
    stopIdleTimer();
    headTimeout.deferTimeoutResponse();
    CallerResponseWriter response =
        new CallerResponseWriter(this, channel, request, canStayOpen(request));
    if (request.decoderResult().isFailure()) {
      response.reject(rejectionFor(request.decoderResult().cause()), 0);
      return;
    }
    if (request.method().equals(HttpMethod.CONNECT)) {
      // After a successful CONNECT the bytes are unframed, so truncation would go undetected.
      response.reject(Rejection.MALFORMED, 0);
      return;
    }
    try {
      IncomingRequest incoming = IncomingRequest.read(request, server.names());
      lastRequestId = incoming.id();
      server.control().run(() -> currentExchange = accept(incoming, response));
    } catch (MalformedRequestException e) {
      response.reject(Rejection.MALFORMED, 0);
    }
  }

  private static boolean canStayOpen(FullHttpRequest request) {
    // After a rejection, a caller that expects 100 (Continue) may send its body or a new request.
    boolean isNextMessageKnown =
        request.decoderResult().isSuccess()
            || (isBodyTooLong(request.decoderResult().cause())
                && !HttpUtil.is100ContinueExpected(request));
    return HttpUtil.isKeepAlive(request)
        && isNextMessageKnown
        && !request.method().equals(HttpMethod.CONNECT);
  }

  private static boolean isBodyTooLong(Throwable cause) {
    return cause instanceof TooLongHttpContentException;
  }

  private Optional<Exchange> accept(IncomingRequest incoming, CallerResponseWriter response) {
    return server.forwarder().accept(incoming, response);
  }

  private static Rejection rejectionFor(Throwable cause) {
    if (isBodyTooLong(cause)) {
      return Rejection.BODY_TOO_LARGE;
    }
    boolean tooLong =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
    return tooLong ? Rejection.HEAD_TOO_LARGE : Rejection.MALFORMED;
  }

  /** Handles the next pipelined request after a response was written completely. */
  void onResponseComplete(boolean keepAlive) {
    currentExchange = Optional.empty();
    if (!keepAlive) {
      hasLastResponse = true;
      return;
    }
    startIdleTimer();
    // Runs later, because the code that completed this response may still be executing.
    requests
        .completeCurrent()
        .ifPresentOrElse(
            next -> channel.eventLoop().execute(() -> handleQueued(next)),
            this::onAllResponsesComplete);
  }

  private void onAllResponsesComplete() {
    headTimeout.allowTimeoutResponse();
    channel.pipeline().fireUserEventTriggered(CallerEvent.ALL_ANSWERED);
  }

  private void handleQueued(FullHttpRequest next) {
    try {
      if (channel.isActive()) {
        channel.config().setAutoRead(true);
        handle(next);
      }
    } finally {
      next.release();
    }
  }

  /** Called before the last part of a response is written. */
  void onWriteStarted() {
    unwrittenResponses++;
  }

  /** Called when the last part of a response was written to the socket, or could not be. */
  void onWriteEnded() {
    unwrittenResponses--;
  }

  private ConnectionState state() {
    if (hasPendingResponse() && !(hasLastResponse && requests.size() == 0)) {
      return ConnectionState.WAITING;
    }
    if (headTimeout.isReceiving()) {
      return ConnectionState.RECEIVING;
    }
    if (unwrittenResponses > 0) {
      return ConnectionState.WRITING;
    }
    return hasReceivedRequest ? ConnectionState.IDLE : ConnectionState.NEW;
  }

  /** Returns whether a request awaits its response. */
  boolean hasPendingResponse() {
    return !requests.isIdle();
  }

  boolean isDraining() {
    return server.isDraining();
  }

  void closeIfIdle(CloseReason reason) {
    if (requests.isIdle()) {
      close(reason);
    }
  }

  /** Closes the connection; a response being written is truncated. */
  void close(CloseReason reason) {
    recordCloseReason(reason);
    channel.close();
  }

  /** Records why the connection is about to be closed; the first reason counts. */
  void recordCloseReason(CloseReason reason) {
    if (closeReason == CloseReason.CALLER) {
      closeReason = reason;
      server.observer().recordClosed(reason, state(), detail());
    }
  }

  private String detail() {
    long nowMillis = ControlThread.nowMillis();
    return "openMillis="
        + (nowMillis - openedAtMillis)
        + " sinceRequestMillis="
        + (nowMillis - receivedAtMillis)
        + " queued="
        + requests.size()
        + " lastRequest="
        + lastRequestId;
  }

  private void startIdleTimer() {
    stopIdleTimer();
    long millis = server.limits().idleTimeoutMillis();
    idleTimer =
        channel
            .eventLoop()
            .schedule(() -> closeIfIdle(CloseReason.IDLE_TIMEOUT), millis, TimeUnit.MILLISECONDS);
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
    if (closeReason == CloseReason.CALLER) {
      server.observer().recordClosed(CloseReason.CALLER, state(), detail());
    }
    requests.drain().forEach(FullHttpRequest::release);
    currentExchange.ifPresent(current -> server.control().run(current::onCallerDisconnected));
    currentExchange = Optional.empty();
    super.channelInactive(context);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (!(cause instanceof IOException)) {
      server.control().logFailure("a caller's connection is closed by an exception", cause);
    }
    close(CloseReason.EXCEPTION);
  }
}
