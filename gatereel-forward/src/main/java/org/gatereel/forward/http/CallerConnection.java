package org.gatereel.forward.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.gatereel.core.forward.AcceptedRequest;
import org.gatereel.core.forward.Rejection;

/**
 * A caller's connection, whose requests are handled one at a time in the order received.
 *
 * <p>Reading continues while a request is handled, so that a disconnect of the caller is detected.
 * {@link #state} alone decides when the connection may be closed: a debt begins with the first byte
 * of a request and ends when the last byte of its response is written.
 */
final class CallerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
  private static final int MAX_QUEUED_REQUESTS = 8;

  /** The event loop reads the sockets before it runs a task with any delay above 0. */
  private static final long NEXT_READ_MILLIS = 1;

  /** Callers send their first request right after they have connected. */
  private static final long FIRST_REQUEST_MILLIS = 1_000;

  /** A caller may send its next request when it has received a response. */
  private static final long NEXT_REQUEST_MILLIS = 300;

  /** For this time the rest of a rejected request is discarded, so that its caller can read. */
  private static final long LINGER_MILLIS = 1_000;

  /** The longest time from the first to the last byte of a request, in idle timeouts. */
  private static final int MAX_RECEIVE_IDLE_TIMEOUTS = 4;

  private final CallerServer server;
  private final Channel channel;
  private final RequestHeadTimeoutHandler headTimeout;
  private final PipelineQueue<FullHttpRequest> requests = new PipelineQueue<>();
  private final IdleTimer idleTimer;
  private final ConnectionRecord history = new ConnectionRecord();
  private final WriteProgress writes;
  private Optional<AcceptedRequest> currentExchange = Optional.empty();
  private CloseReason closeReason = CloseReason.CALLER;
  private boolean hasLastResponse;
  private boolean mayStillSend;
  private int unwrittenResponses;
  private long activities;
  private Optional<FullHttpRequest> pausedRequest = Optional.empty();

  CallerConnection(CallerServer server, Channel channel, RequestHeadTimeoutHandler headTimeout) {
    this.server = server;
    this.channel = channel;
    this.headTimeout = headTimeout;
    this.writes = new WriteProgress(channel);
    this.idleTimer =
        new IdleTimer(channel.eventLoop(), () -> server.limits().idleTimeoutMillis(), this::onIdle);
    headTimeout.onTimeoutSent(() -> endAfterLastResponse(CloseReason.HEAD_TIMEOUT));
  }

  @Override
  public void channelActive(ChannelHandlerContext context) throws Exception {
    super.channelActive(context);
    idleTimer.restart();
  }

  /** Called before received bytes are parsed. */
  void onBytesReceived() {
    activities++;
    if (state().isAtRest() && !headTimeout.isWithinRequest()) {
      server.applyLimits(channel.pipeline());
      idleTimer.restart();
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    history.recordRequest();
    boolean isCurrent = requests.offer(request);
    if (isCurrent && !server.isDraining()) {
      handle(request);
      return;
    }
    request.retain();
    if (isCurrent) {
      // Whether the response is the last one depends on the requests that are parsed after this
      // one.
      channel.eventLoop().execute(() -> handleQueued(request));
    } else if (requests.size() > MAX_QUEUED_REQUESTS) {
      channel.config().setAutoRead(false);
    }
  }

  private void handle(FullHttpRequest request) {
    headTimeout.deferTimeoutResponse();
    CallerResponseWriter response =
        new CallerResponseWriter(
            this, channel, request.protocolVersion(), request.method(), canStayOpen(request));
    if (request.decoderResult().isFailure()) {
      mayStillSend = !canStayOpen(request);
      headTimeout.onAnswered();
      response.reject(rejectionFor(request.decoderResult().cause()), 0);
      return;
    }
    if (request.method().equals(HttpMethod.CONNECT)) {
      // After a successful CONNECT the bytes are unframed, so truncation would go undetected.
      response.reject(Rejection.MALFORMED, 0);
      return;
    }
    server
        .control()
        .run(
            () -> currentExchange = accept(request, response),
            () -> response.reject(Rejection.HOST_FAILED_BEFORE_SENDING, server.retryAfterMillis()));
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

  private Optional<AcceptedRequest> accept(FullHttpRequest request, CallerResponseWriter response) {
    try {
      IncomingRequest incoming = IncomingRequest.read(request, server.names());
      history.recordId(incoming.id());
      return server.requests().accept(incoming, response);
    } catch (MalformedRequestException e) {
      response.reject(Rejection.MALFORMED, 0);
      return Optional.empty();
    }
  }

  private static Rejection rejectionFor(Throwable cause) {
    if (isBodyTooLong(cause)) {
      return Rejection.BODY_TOO_LARGE;
    }
    boolean tooLong =
        cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
    return tooLong ? Rejection.HEAD_TOO_LARGE : Rejection.MALFORMED;
  }

  /**
   * Handles the next pipelined request after a response was handed over for writing.
   *
   * @param keepAlive whether the caller was not told that the response is the last one
   */
  void onResponseComplete(boolean keepAlive) {
    currentExchange = Optional.empty();
    unwrittenResponses++;
    if (!keepAlive) {
      hasLastResponse = true;
      return;
    }
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

  /** Called when the end of a response was written to the socket, or could not be written. */
  void onResponseWritten(boolean success, boolean keepAlive) {
    unwrittenResponses--;
    activities++;
    if (!success) {
      // If the end was not written, the caller would read the next response as part of this one.
      close(CloseReason.BROKEN_RESPONSE);
    } else if (!keepAlive) {
      endAfterLastResponse(CloseReason.LAST_RESPONSE);
    } else {
      idleTimer.restart();
    }
  }

  private void handleQueued(FullHttpRequest next) {
    if (channel.isActive() && !channel.isWritable()) {
      // Further responses would be buffered without a bound for a caller that does not read.
      pausedRequest = Optional.of(next);
      return;
    }
    try {
      if (channel.isActive()) {
        channel.config().setAutoRead(requests.size() <= MAX_QUEUED_REQUESTS);
        handle(next);
      }
    } finally {
      next.release();
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) throws Exception {
    if (channel.isWritable() && pausedRequest.isPresent()) {
      FullHttpRequest next = pausedRequest.get();
      pausedRequest = Optional.empty();
      channel.eventLoop().execute(() -> handleQueued(next));
    }
    super.channelWritabilityChanged(context);
  }

  /** Returns whether a request awaits its response. */
  boolean hasPendingResponse() {
    return !requests.isIdle();
  }

  ConnectionState state() {
    if (hasLastResponse) {
      return unwrittenResponses > 0 ? ConnectionState.WRITING : ConnectionState.ENDING;
    }
    if (hasPendingResponse()) {
      return ConnectionState.WAITING;
    }
    if (headTimeout.isReceiving()) {
      return ConnectionState.RECEIVING;
    }
    if (unwrittenResponses > 0) {
      return ConnectionState.WRITING;
    }
    return history.hasRequest() ? ConnectionState.IDLE : ConnectionState.NEW;
  }

  /** Returns whether the response to the current request is to be the last one. */
  boolean endsWithCurrentResponse() {
    return server.isDraining() && requests.size() == 0 && !headTimeout.isReceiving();
  }

  private void onIdle() {
    if (state().isAtRest()) {
      closeAfterNextRead(CloseReason.IDLE_TIMEOUT);
    } else if (state() == ConnectionState.RECEIVING
        && headTimeout.receivingMillis() >= maxRequestMillis()) {
      rejectIncomplete(Rejection.SLOW_CALLER);
    } else if (unwrittenResponses > 0 && currentExchange.isEmpty() && !writes.hasProgressed()) {
      close(CloseReason.CALLER_DOES_NOT_READ);
    } else {
      idleTimer.restart();
    }
  }

  private long maxRequestMillis() {
    return MAX_RECEIVE_IDLE_TIMEOUTS * server.limits().idleTimeoutMillis();
  }

  /** Closes the connection, unless its caller may be about to use it. */
  void closeIfUnused() {
    boolean isUnused =
        state() == ConnectionState.NEW
            ? history.openMillis() >= FIRST_REQUEST_MILLIS
            : idleTimer.idleMillis() >= NEXT_REQUEST_MILLIS;
    if (state().isAtRest() && isUnused) {
      closeAfterNextRead(CloseReason.DRAINING);
    }
  }

  /** Closes the connection, unless the event loop still has to read a request from its socket. */
  private void closeAfterNextRead(CloseReason reason) {
    long activitiesBefore = activities;
    channel
        .eventLoop()
        .schedule(
            () -> closeIfUnchanged(activitiesBefore, reason),
            NEXT_READ_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  private void closeIfUnchanged(long activitiesBefore, CloseReason reason) {
    if (state().isAtRest() && activities == activitiesBefore) {
      close(reason);
    } else {
      idleTimer.restart();
    }
  }

  /** Rejects a request of which only a part has been received, and ends the connection. */
  void rejectIncomplete(Rejection rejection) {
    if (state() == ConnectionState.RECEIVING) {
      headTimeout.discardFurtherBytes();
      mayStillSend = true;
      new CallerResponseWriter(this, channel, HttpVersion.HTTP_1_1, HttpMethod.GET, false)
          .reject(rejection, server.retryAfterMillis());
    }
  }

  /**
   * Ends the connection after its last response.
   *
   * <p>A close with unread bytes resets the connection, which can discard the response. While the
   * caller may still be sending, what it sends is therefore discarded first.
   */
  private void endAfterLastResponse(CloseReason reason) {
    hasLastResponse = true;
    if ((mayStillSend || headTimeout.isWithinRequest())
        && channel instanceof DuplexChannel duplex) {
      duplex.shutdownOutput();
      channel.eventLoop().schedule(() -> close(reason), LINGER_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      close(reason);
    }
  }

  /** Closes the connection; a response being written is truncated. */
  void close(CloseReason reason) {
    recordClose(reason);
    channel.close();
  }

  /** Records the close for which this host has a reason, else that of the caller. */
  private void recordClose(CloseReason reason) {
    if (closeReason == CloseReason.CALLER && channel.isOpen()) {
      closeReason = reason;
      server.observer().recordClosed(reason, state(), history.describe(requests.size()));
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) throws Exception {
    idleTimer.close();
    server.removeConnection(this);
    if (closeReason == CloseReason.CALLER) {
      server
          .observer()
          .recordClosed(CloseReason.CALLER, state(), history.describe(requests.size()));
    }
    requests.drain().forEach(FullHttpRequest::release);
    pausedRequest.ifPresent(FullHttpRequest::release);
    pausedRequest = Optional.empty();
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
