package org.gatereel.forward.relay;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gatereel.core.model.TargetId;
import org.gatereel.forward.CloseMode;

/**
 * Passes bytes between another host and a target.
 *
 * <p>Each side is read only after the other one has taken what was read before, so that a slow
 * reader holds up the sender and little is buffered here.
 */
final class Tunnel implements AutoCloseable {
  private final Subject subject;
  private final Channel origin;
  private final Channel target;
  private final Consumer<Tunnel> closeListener;
  private ScheduledFuture<?> timeout;
  private boolean endedInOrder;
  private boolean closed;

  /**
   * What is relayed.
   *
   * @param remainingMillis the time after which the connection is closed
   */
  record Subject(String requestId, TargetId target, long remainingMillis) {}

  Tunnel(Subject subject, Channel origin, Channel target, Consumer<Tunnel> closeListener) {
    this.subject = subject;
    this.origin = origin;
    this.target = target;
    this.closeListener = closeListener;
  }

  Subject subject() {
    return subject;
  }

  /** Returns whether the target closed its connection in order. */
  boolean hasEndedInOrder() {
    return endedInOrder;
  }

  /**
   * Starts to pass bytes; the origin's connection is to be reset unless the target ends in order.
   */
  void start() {
    origin.pipeline().addLast(new Copier(target));
    target.pipeline().addLast(new Copier(origin));
    origin.closeFuture().addListener(closed -> close());
    target.closeFuture().addListener(closed -> close());
    timeout =
        target.eventLoop().schedule(this::abort, subject.remainingMillis(), TimeUnit.MILLISECONDS);
    origin.read();
    target.read();
  }

  /** Closes both connections; the origin's is reset unless the target's ended in order. */
  @Override
  public void close() {
    closed = true;
    if (timeout != null) {
      timeout.cancel(false);
    }
    target.close();
    if (!endedInOrder) {
      origin.close();
    }
    closeListener.accept(this);
  }

  /** Resets the origin's connection, also if it has not read all bytes of an orderly end. */
  private void abort() {
    endedInOrder = false;
    CloseMode.resetOnClose(origin);
    close();
  }

  /** Closes the origin's connection in order, after all bytes of the target were written. */
  private void endInOrder() {
    if (closed) {
      return;
    }
    endedInOrder = true;
    origin
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(
            written -> {
              if (written.isSuccess()) {
                // Not before: if this process ended now, the rest would be missing unnoticed.
                CloseMode.closeGracefully(origin);
              }
              origin.close();
              target.close();
            });
  }

  /** Writes what one side sends to the other side. */
  private final class Copier extends ChannelInboundHandlerAdapter {
    private final Channel to;

    private Copier(Channel to) {
      this.to = to;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      to.writeAndFlush(message)
          .addListener(
              written -> {
                if (written.isSuccess()) {
                  context.channel().read();
                } else {
                  close();
                }
              });
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (event instanceof ChannelInputShutdownEvent && context.channel() == target) {
        endInOrder();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      close();
    }
  }
}
