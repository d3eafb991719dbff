package org.gatereel.wire;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import java.net.ConnectException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.HostId;
import org.gatereel.core.peer.PeerMessage;
import org.gatereel.wire.generated.Envelope;

/**
 * Connections to other entry hosts. Each host opens its own connection to a peer when it sends the
 * first message.
 *
 * <p>Messages to one peer arrive in the order in which they were sent, or the peer is reported as
 * unreachable. Messages are not retried.
 */
public final class PeerLinks implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int MAX_PENDING_BYTES = 8 * 1024 * 1024;
  private static final int SHUTDOWN_QUIET_PERIOD_MILLIS = 0;
  private static final int SHUTDOWN_TIMEOUT_MILLIS = 500;

  private final HostId self;
  private final PeerListener listener;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Map<HostId, Link> links = new ConcurrentHashMap<>();
  private final LongAdder bytesSent = new LongAdder();
  private final LongAdder messagesSent = new LongAdder();
  private Channel server;

  private record Link(Address address, ChannelFuture opening) {}

  public PeerLinks(HostId self, PeerListener listener) {
    this.self = self;
    this.listener = listener;
  }

  /**
   * Starts to accept connections of peers.
   *
   * @throws PeerPortException if the address cannot be bound
   */
  public void listen(Address address) throws PeerPortException {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel
                        .pipeline()
                        .addLast(new ProtobufVarint32FrameDecoder())
                        .addLast(new ProtobufDecoder(Envelope.getDefaultInstance()))
                        .addLast(new PeerReader(listener));
                  }
                })
            .bind(address.ip(), address.port())
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new PeerPortException(address, bound.cause());
    }
    server = bound.channel();
  }

  /** Sends a message; a failure is reported to the listener as an unreachable peer. */
  public void send(HostId peer, Address address, PeerMessage message) {
    Envelope envelope = MessageEncoder.encode(message);
    bytesSent.add(envelope.getSerializedSize());
    messagesSent.increment();
    Link link = linkTo(peer, address);
    if (link.opening().isDone()) {
      write(peer, link, envelope);
    } else {
      link.opening().addListener(done -> write(peer, link, envelope));
    }
  }

  private Link linkTo(HostId peer, Address address) {
    return links.compute(
        peer,
        (id, known) -> {
          boolean usable = known != null && known.address().equals(address) && !isBroken(known);
          return usable ? known : new Link(address, connect(id, address));
        });
  }

  private static boolean isBroken(Link link) {
    return link.opening().isDone()
        && (!link.opening().isSuccess() || !link.opening().channel().isActive());
  }

  private ChannelFuture connect(HostId peer, Address address) {
    ChannelFuture opening =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .option(ChannelOption.TCP_NODELAY, true)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel
                        .pipeline()
                        .addLast(new ProtobufVarint32LengthFieldPrepender())
                        .addLast(new ProtobufEncoder());
                  }
                })
            .connect(address.ip(), address.port());
    opening.addListener(
        done -> {
          if (done.isSuccess()) {
            var unused = opening.channel().write(MessageEncoder.hello(self));
            opening
                .channel()
                .closeFuture()
                .addListener(closed -> listener.onUnreachable(peer, false));
          } else {
            listener.onUnreachable(peer, isRefused(done.cause()));
          }
        });
    return opening;
  }

  private static boolean isRefused(Throwable cause) {
    return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
  }

  private void write(HostId peer, Link link, Envelope envelope) {
    Channel channel = link.opening().channel();
    if (!link.opening().isSuccess()) {
      return;
    }
    if (pendingBytes(channel) > MAX_PENDING_BYTES) {
      // Limits the memory used for a peer that does not read; the next message reconnects.
      closeQuietly(channel);
      return;
    }
    channel
        .writeAndFlush(envelope)
        .addListener(
            done -> {
              if (!done.isSuccess()) {
                listener.onUnreachable(peer, false);
              }
            });
  }

  /** Closes a channel without waiting for the result. */
  private static void closeQuietly(Channel channel) {
    var unused = channel.close();
  }

  private static long pendingBytes(Channel channel) {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    // A closed channel has no buffer.
    return buffer == null ? 0 : buffer.totalPendingWriteBytes();
  }

  /** Closes the connection to a peer; the next message opens a new one. */
  public void drop(HostId peer) {
    Link link = links.remove(peer);
    if (link != null) {
      closeQuietly(link.opening().channel());
    }
  }

  /** Returns the number of bytes of the messages sent so far, without framing. */
  public long bytesSent() {
    return bytesSent.sum();
  }

  public long messagesSent() {
    return messagesSent.sum();
  }

  @Override
  public void close() {
    if (server != null) {
      closeQuietly(server);
    }
    links.values().forEach(link -> closeQuietly(link.opening().channel()));
    group
        .shutdownGracefully(
            SHUTDOWN_QUIET_PERIOD_MILLIS, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(SHUTDOWN_TIMEOUT_MILLIS);
  }
}
