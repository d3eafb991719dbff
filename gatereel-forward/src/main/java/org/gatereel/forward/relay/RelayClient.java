package org.gatereel.forward.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.reach.RelayOutcome;

/** Asks other hosts to relay connections to targets. */
public final class RelayClient {
  private final Bootstrap bootstrap;

  /**
   * A request for a relayed connection.
   *
   * @param requestId the id of the caller's request, for the log
   * @param remainingMillis the time after which the connection is of no use
   */
  public record RelayRequest(TargetDescription target, String requestId, long remainingMillis) {}

  public RelayClient(EventLoop loop) {
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true);
  }

  /**
   * Asks a host for a connection. The callback is called exactly once; with {@link
   * RelayOutcome#CONNECTED} the channel has no handlers and is connected to the target, otherwise
   * it is closed.
   *
   * @return the channel to the host, which may be closed to withdraw the request
   */
  public Channel open(
      Address peer,
      RelayRequest request,
      int timeoutMillis,
      BiConsumer<RelayOutcome, Channel> callback) {
    Handshake handshake = new Handshake(callback);
    ChannelFuture connecting =
        bootstrap
            .clone()
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new HttpClientCodec()).addLast(handshake);
                  }
                })
            .connect(new InetSocketAddress(peer.ip(), peer.port()));
    Channel channel = connecting.channel();
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            channel.writeAndFlush(connectRequest(request));
          } else {
            handshake.finish(RelayOutcome.NO_RESPONSE, channel);
          }
        });
    channel
        .eventLoop()
        .schedule(
            () -> handshake.finish(RelayOutcome.NO_RESPONSE, channel),
            timeoutMillis,
            TimeUnit.MILLISECONDS);
    return channel;
  }

  private static FullHttpRequest connectRequest(RelayRequest request) {
    TargetDescription target = request.target();
    FullHttpRequest connect =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.CONNECT, target.address().toString());
    connect
        .headers()
        .set(HttpHeaderNames.HOST, target.address().toString())
        .set(RelayHeaders.TARGET, target.id().value())
        .set(RelayHeaders.TARGET_START, target.id().born())
        .set(RelayHeaders.REQUEST, request.requestId())
        .set(RelayHeaders.REMAINING_MILLIS, request.remainingMillis());
    return connect;
  }

  /** Reads the response to the {@code CONNECT} request, then removes itself and the codec. */
  private static final class Handshake extends ChannelInboundHandlerAdapter {
    private final BiConsumer<RelayOutcome, Channel> callback;
    private RelayOutcome outcome = RelayOutcome.NO_RESPONSE;
    private boolean finished;

    private Handshake(BiConsumer<RelayOutcome, Channel> callback) {
      this.callback = callback;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      try {
        if (message instanceof HttpResponse response) {
          outcome = outcome(response.status());
        }
        if (message instanceof LastHttpContent && outcome == RelayOutcome.CONNECTED) {
          context.pipeline().remove(HttpClientCodec.class);
          context.pipeline().remove(this);
        }
        if (message instanceof LastHttpContent) {
          finish(outcome, context.channel());
        }
      } finally {
        ReferenceCountUtil.release(message);
      }
    }

    private static RelayOutcome outcome(HttpResponseStatus status) {
      if (status.equals(HttpResponseStatus.OK)) {
        return RelayOutcome.CONNECTED;
      }
      if (status.equals(HttpResponseStatus.BAD_GATEWAY)) {
        return RelayOutcome.TARGET_UNREACHABLE;
      }
      return status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
          ? RelayOutcome.UNAVAILABLE
          : RelayOutcome.UNSUPPORTED;
    }

    /**
     * Ends the handshake when the host closes; a connection that allows half-closure stays open.
     */
    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (event instanceof ChannelInputShutdownEvent) {
        finish(RelayOutcome.NO_RESPONSE, context.channel());
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      finish(RelayOutcome.NO_RESPONSE, context.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      finish(RelayOutcome.NO_RESPONSE, context.channel());
    }

    private void finish(RelayOutcome result, Channel channel) {
      if (finished) {
        return;
      }
      finished = true;
      if (result != RelayOutcome.CONNECTED) {
        channel.close();
      }
      callback.accept(result, channel);
    }
  }
}
