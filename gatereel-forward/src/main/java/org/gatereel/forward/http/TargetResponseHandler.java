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
import org.gatereel.core.forward.AnswerEnd;
import org.gatereel.forward.ControlThread;

/**
 * Reads the one answer of a connection to a target; interim answers (1xx) are passed over.
 *
 * <p>The connection has to allow half-closure ({@code ALLOW_HALF_CLOSURE}), so that a target's own
 * end can be told from every other close. It is closed once there is nothing more to report.
 */
abstract class TargetResponseHandler extends ChannelInboundHandlerAdapter {
  private final ControlThread control;
  private final HttpMethod asked;
  private boolean over;
  private boolean interim;
  private boolean hasHead;
  private AnswerEnd end = AnswerEnd.CONNECTION_CLOSED;

  /**
   * Makes a handler for the answer to one request.
   *
   * @param asked the request's method
   */
  TargetResponseHandler(ControlThread control, HttpMethod asked) {
    this.control = control;
    this.asked = asked;
  }

  /** The connection stands. */
  abstract void onConnected();

  abstract void onHead(HttpResponse head);

  abstract void onBody(byte[] bytes);

  abstract void onEnd(AnswerEnd end);

  abstract void onFailure(TargetFailure failure);

  /** The connection did not come about. */
  void connectFailed(Throwable cause) {
    fail(TargetFailure.NOT_CONNECTED);
  }

  /** Returns whether the request is still to be sent. */
  boolean mayBeSent() {
    return true;
  }

  /** The connection stands; returns whether the request is to be sent. */
  final boolean prepareSend() {
    step(
        () -> {
          if (mayBeSent()) {
            onConnected();
          } else {
            over = true;
            onFailure(TargetFailure.WITHDRAWN);
          }
        });
    return !over;
  }

  /** Nothing more is to be reported. */
  final void stopReporting() {
    over = true;
  }

  final void fail(TargetFailure failure) {
    step(
        () -> {
          over = true;
          onFailure(failure);
        });
  }

  private void step(Runnable report) {
    if (!over) {
      control.run(report);
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (!over) {
        read(context, (HttpObject) message);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
    if (over) {
      context.close();
    }
  }

  private void read(ChannelHandlerContext context, HttpObject message) {
    if (message.decoderResult().isFailure()) {
      fail(TargetFailure.ERROR);
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
    Optional<AnswerEnd> known = ResponseFraming.endOf(asked, head);
    if (known.isEmpty()) {
      fail(TargetFailure.ERROR);
      return;
    }
    hasHead = true;
    end = known.get();
    step(() -> onHead(head));
  }

  private void readBody(ChannelHandlerContext context, HttpContent content) {
    if (content.content().isReadable()) {
      byte[] bytes = new byte[content.content().readableBytes()];
      content.content().readBytes(bytes);
      step(() -> onBody(bytes));
    }
    if (content instanceof LastHttpContent && hasHead) {
      readLast(context);
    }
  }

  /**
   * Of the ends of a connection only the target's own, in order, leaves the other direction open;
   * after a reset, a failed write or a close by this host the connection is gone.
   */
  private void readLast(ChannelHandlerContext context) {
    if (end == AnswerEnd.CONNECTION_CLOSED && !context.channel().isActive()) {
      fail(TargetFailure.RESET);
      return;
    }
    step(
        () -> {
          over = true;
          onEnd(end);
        });
  }

  /** A target that ends its side has said all; a whole answer was reported before this. */
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

  /** A reset must be seen before the end that follows it, which alone would look like a whole. */
  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    fail(TargetFailure.RESET);
    context.close();
  }
}
