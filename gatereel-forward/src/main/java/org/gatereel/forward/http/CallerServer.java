package org.gatereel.forward.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.gatereel.core.configuration.Configuration;
import org.gatereel.core.configuration.InboundLimits;
import org.gatereel.core.forward.ConfigurationHolder;
import org.gatereel.core.forward.ForwardPolicy;
import org.gatereel.core.forward.Rejection;
import org.gatereel.core.forward.RequestGate;
import org.gatereel.core.model.Address;
import org.gatereel.forward.ControlThread;
import org.gatereel.forward.HeaderNames;

/** Listens for callers' connections and forwards their requests. */
public final class CallerServer implements AutoCloseable {
  private static final int ACCEPT_BACKLOG = 1_024;
  private static final int MAX_CHUNK_BYTES = 65_536;
  private static final int MAX_UNSENT_BYTES = 4 << 20;

  /** More than one read of 64 KB can hold; reading pauses before a second one. */
  private static final int MAX_PIPELINED_REQUESTS = 4_096;

  /** The event loop accepts connections before it runs a task with any delay above 0. */
  private static final long NEXT_ACCEPT_MILLIS = 1;

  private final ControlThread control;
  private final ConfigurationHolder configuration;
  private final RequestGate requests;
  private final HeaderNames names;
  private final ConnectionObserver observer;
  private final Set<CallerConnection> connections = new LinkedHashSet<>();
  private Channel listener;
  private boolean listenerEnding;
  private boolean draining;

  public CallerServer(
      ControlThread control,
      ConfigurationHolder configuration,
      RequestGate requests,
      HeaderNames names,
      ConnectionObserver observer) {
    this.control = control;
    this.configuration = configuration;
    this.requests = requests;
    this.names = names;
    this.observer = observer;
  }

  /**
   * Begins to listen; fails if the address cannot be bound.
   *
   * <p>Connections wait in the listener's backlog until {@link #startAccepting()}, so that requests
   * are not rejected before the configuration is loaded.
   */
  public void start(Address address) {
    listener =
        new ServerBootstrap()
            .group(control.loop())
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.AUTO_READ, false)
            .option(ChannelOption.RECVBUF_ALLOCATOR, acceptBacklogAtOnce())
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(MAX_UNSENT_BYTES / 2, MAX_UNSENT_BYTES))
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    accept(channel);
                  }
                })
            .bind(address.ip(), address.port())
            .syncUninterruptibly()
            .channel();
  }

  /** Lets each pass of the event loop accept all connections that wait. */
  private static RecvByteBufAllocator acceptBacklogAtOnce() {
    return new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(ACCEPT_BACKLOG);
  }

  /** Accepts the connections in the backlog and all later ones. */
  public void startAccepting() {
    listener.config().setAutoRead(true);
  }

  private void accept(Channel channel) {
    InboundLimits limits = limits();
    RequestHeadTimeoutHandler headTimeout =
        new RequestHeadTimeoutHandler(limits.headTimeoutMillis());
    CallerConnection connection = new CallerConnection(this, channel, headTimeout);
    connections.add(connection);
    channel
        .pipeline()
        .addLast(new ReceivedBytesHandler(connection))
        .addLast(headTimeout)
        .addLast(codec(limits))
        .addLast(new RequestHeadTimeoutHandler.ParsedMessageObserver())
        .addLast(new RequestAggregator(limits, connection::hasPendingResponse))
        .addLast(connection);
  }

  private static HttpServerCodec codec(InboundLimits limits) {
    return new HttpServerCodec(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(limits.maxHeadBytes())
            .setMaxHeaderSize(limits.maxHeadBytes())
            .setMaxChunkSize(MAX_CHUNK_BYTES),
        MAX_PIPELINED_REQUESTS);
  }

  /** Applies the current limits to a connection between two requests. */
  void applyLimits(ChannelPipeline pipeline) {
    InboundLimits limits = limits();
    RequestAggregator aggregator = pipeline.get(RequestAggregator.class);
    if (aggregator.limits().equals(limits)) {
      return;
    }
    pipeline.get(RequestHeadTimeoutHandler.class).setTimeoutMillis(limits.headTimeoutMillis());
    pipeline.replace(HttpServerCodec.class, null, codec(limits));
    pipeline.replace(
        aggregator, null, new RequestAggregator(limits, aggregator.hasPendingResponse()));
  }

  long retryAfterMillis() {
    return ForwardPolicy.STANDARD.retryAfterMillis();
  }

  InboundLimits limits() {
    return configuration.current().map(Configuration::limits).orElse(InboundLimits.STANDARD);
  }

  ControlThread control() {
    return control;
  }

  RequestGate requests() {
    return requests;
  }

  HeaderNames names() {
    return names;
  }

  ConnectionObserver observer() {
    return observer;
  }

  /** Returns whether connections close after their current response. */
  boolean isDraining() {
    return draining;
  }

  void removeConnection(CallerConnection connection) {
    connections.remove(connection);
  }

  /** Makes every connection close after its current response. */
  public void drain() {
    draining = true;
  }

  /** Closes the connections that nobody is about to use. */
  public void closeUnusedConnections() {
    List.copyOf(connections).forEach(CallerConnection::closeIfUnused);
  }

  /** Rejects the requests that have not been received completely. */
  public void rejectIncompleteRequests() {
    List.copyOf(connections).forEach(connection -> connection.rejectIncomplete(Rejection.STOPPING));
  }

  /** Returns whether all connections are at rest. */
  public boolean isAtRest() {
    return connections.stream().allMatch(connection -> connection.state().isAtRest());
  }

  /** Returns the number of open connections. */
  public int openConnections() {
    return connections.size();
  }

  /** Accepts the connections in the backlog, then no more; open ones stay open. */
  public void stopListening() {
    if (listener != null && !listenerEnding) {
      listenerEnding = true;
      control.loop().schedule(() -> listener.close(), NEXT_ACCEPT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Returns whether connections are still accepted. */
  public boolean isListening() {
    return listener != null && listener.isOpen();
  }

  /**
   * Stops accepting connections and closes the open ones.
   *
   * <p>The event loop can terminate without closing its channels, which would leave callers waiting
   * for the rest of a response. Callers' connections close before those to targets, because this
   * host's own close of a target's connection must not look like the end of a response.
   */
  @Override
  public void close() {
    if (listener != null) {
      listener.close();
    }
    control
        .loop()
        .execute(
            () ->
                List.copyOf(connections)
                    .forEach(connection -> connection.close(CloseReason.SHUTDOWN)));
  }
}
