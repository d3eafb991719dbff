package org.gatereel.forward.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.forward.ResponseEnd;
import org.gatereel.forward.ControlThread;

/**
 * Reads the response of a connection to a target, which carries a single request.
 *
 * <p>Interim (1xx) responses are ignored; {@link ResponseHeadLimiter} bounds them. The connection
 * must allow half-closure ({@code ALLOW_HALF_CLOSURE}), because only then can a close by the target
 * be distinguished from other closes. The connection is closed after the last report.
 */
abstract class TargetResponseHandler extends ChannelInboundHandlerAdapter {
  private final ControlThread control;
  private final HttpMethod requestMethod;
  private boolean finished;
  private boolean failed;
  private boolean interim;
  private boolean hasHead;
  private ResponseEnd end = ResponseEnd.CONNECTION_CLOSED;

  /**
   * Makes a handler for the response to one request.
   *
   * @param requestMethod the request's method
   */
  TargetResponseHandler(ControlThread control, HttpMethod requestMethod) {
    this.control = control;
    this.requestMethod = requestMethod;
  }

  final HttpMethod requestMethod() {
    return requestMethod;
  }

  abstract void onConnected();

  abstract void onHead(HttpResponse head);

  abstract void onBody(byte[] bytes);

  abstract void onEnd(ResponseEnd end);

  abstract void onFailure(TargetFailure failure);

  /**
   * Called when the connection could not be established.
   *
   * @param targetRefused whether the target's address refused connections, so that no process
   *     listens there
   */
  void connectFailed(boolean targetRefused) {
    fail(TargetFailure.NOT_CONNECTED);
  }

  /** Returns whether the request should still be sent. */
  boolean mayBeSent() {
    return true;
  }

  /** Called when the connection is established; returns whether to send the request. */
  final boolean prepareSend() {
    report(
        () -> {
          if (mayBeSent()) {
            onConnected();
          } else {
            failOnce(TargetFailure.WITHDRAWN);
          }
        });
    return !finished;
  }

  /** Returns whether the head was received; interim (1xx) heads do not count. */
  final boolean hasHead() {
    return hasHead;
  }

  /** Suppresses all further reports. */
  final void stopReporting() {
    finished = true;
  }

  final void fail(TargetFailure failure) {
    report(() -> failOnce(failure));
  }

  private void failOnce(TargetFailure failure) {
    finished = true;
    if (!failed) {
      failed = true;
      onFailure(failure);
    }
  }

  /** Reports an event; if that throws, the response cannot be handled and has failed. */
  private void report(Runnable runnable) {
    if (!finished) {
      control.run(runnable, () -> failOnce(TargetFailure.ERROR));
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (!finished) {
        read(context, (HttpObject) message);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
    if (finished) {
      context.close();
    }
  }

  private void read(ChannelHandlerContext context, HttpObject message) {
    if (message.decoderResult().isFailure()) {
      fail(TargetFailure.INVALID_RESPONSE);
      return;
    }
    if (message instanceof HttpResponse head) {
      interim = ResponseFraming.isInterim(head);
      if (!interim) {
        readHead(head);
      }
    }
    if (message instanceof HttpContent content && !interim) {
      readBody(context, content);
    }
  }

  private void readHead(HttpResponse head) {
    Optional<ResponseEnd> responseEnd = ResponseFraming.endOf(requestMethod, head);
    if (responseEnd.isEmpty()) {
      fail(TargetFailure.INVALID_RESPONSE);
      return;
    }
    hasHead = true;
    end = responseEnd.get();
    report(() -> onHead(head));
  }

  private void readBody(ChannelHandlerContext context, HttpContent content) {
    if (content.content().isReadable()) {
      byte[] bytes = new byte[content.content().readableBytes()];
      content.content().readBytes(bytes);
      report(() -> onBody(bytes));
    }
    if (content instanceof LastHttpContent && hasHead) {
      readLast(context);
    }
  }

  /**
   * Completes the response. If it ends with the connection, the connection must still be active:
   * only a graceful close by the target leaves the other direction open, unlike a reset, a failed
   * write or a close by this host.
   */
  private void readLast(ChannelHandlerContext context) {
    if (end == ResponseEnd.CONNECTION_CLOSED && !context.channel().isActive()) {
      fail(TargetFailure.RESET);
      return;
    }
    report(
        () -> {
          finished = true;
          onEnd(end);
        });
  }

  /** Fails on the target's close; a complete response has been reported before this event. */
  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      fail(TargetFailure.RESET);
      context.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    fail(TargetFailure.RESET);
  }

  /**
   * Fails on a reset. It must be reported before the end of the connection that follows, which
   * alone would look like the end of a complete response.
   */
  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    fail(TargetFailure.RESET);
    context.close();
  }
}
