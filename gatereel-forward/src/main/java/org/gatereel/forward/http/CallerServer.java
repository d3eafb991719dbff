package org.gatereel.forward.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.gatereel.core.forward.Configuration;
import org.gatereel.core.forward.ConfigurationKeeper;
import org.gatereel.core.forward.Forwarder;
import org.gatereel.core.forward.Limits;
import org.gatereel.core.model.Address;
import org.gatereel.forward.ControlThread;
import org.gatereel.forward.HeaderNames;

/** Takes callers' connections. */
public final class CallerServer implements AutoCloseable {
  private static final int BACKLOG = 1_024;
  private static final int LARGEST_CHUNK = 65_536;
  private static final int SLOWEST_CALLER_BYTES = 4 << 20;

  private final ControlThread control;
  private final ConfigurationKeeper configuration;
  private final Forwarder forwarder;
  private final HeaderNames names;
  private final Set<CallerConnection> connections = new LinkedHashSet<>();
  private Channel listener;
  private boolean draining;

  public CallerServer(
      ControlThread control,
      ConfigurationKeeper configuration,
      Forwarder forwarder,
      HeaderNames names) {
    this.control = control;
    this.configuration = configuration;
    this.forwarder = forwarder;
    this.names = names;
  }

  /**
   * Begins to listen; fails if the address cannot be bound.
   *
   * <p>Connections wait in the listener's queue until {@link #startAccepting()}, so that callers who come
   * before anything is known here are not refused for it.
   */
  public void start(Address address) {
    listener =
        new ServerBootstrap()
            .group(control.loop())
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(SLOWEST_CALLER_BYTES / 2, SLOWEST_CALLER_BYTES))
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

  /** Takes connections from now on. */
  public void startAccepting() {
    listener.config().setAutoRead(true);
  }

  private void accept(Channel channel) {
    Limits limits = limits();
    RequestHeadTimeoutHandler guard = new RequestHeadTimeoutHandler(limits.headMillis());
    CallerConnection connection = new CallerConnection(this, channel, guard);
    connections.add(connection);
    channel
        .pipeline()
        .addLast(guard)
        .addLast(new HttpServerCodec(limits.headBytes(), limits.headBytes(), LARGEST_CHUNK))
        .addLast(new RequestHeadTimeoutHandler.ParsedMessageObserver())
        .addLast(new RequestAggregator(limits.bodyBytes(), connection::hasPendingResponse))
        .addLast(connection);
  }

  Limits limits() {
    return configuration.current().map(Configuration::limits).orElse(Limits.STANDARD);
  }

  ControlThread control() {
    return control;
  }

  Forwarder forwarder() {
    return forwarder;
  }

  HeaderNames names() {
    return names;
  }

  /** Returns whether answers are to say that their connection closes. */
  boolean isDraining() {
    return draining;
  }

  void removeConnection(CallerConnection connection) {
    connections.remove(connection);
  }

  /** Has every connection close after its present answer. */
  public void drain() {
    draining = true;
  }

  /** Closes the connections that have no request. */
  public void closeIdleConnections() {
    List.copyOf(connections).forEach(CallerConnection::closeIfIdle);
  }

  /** Returns how many connections callers have open. */
  public int openConnections() {
    return connections.size();
  }

  /** Takes no more connections; those that are open stay. */
  public void stopListening() {
    if (listener != null) {
      listener.close();
    }
  }

  /**
   * Takes no more connections and closes those that are open.
   *
   * <p>The event loop may end without closing what is registered with it, and callers would wait
   * for the rest of an answer. They are closed before the targets' connections, so that the end of
   * those, which is this host's doing, is taken for the end of no answer.
   */
  @Override
  public void close() {
    stopListening();
    control.loop().execute(() -> List.copyOf(connections).forEach(CallerConnection::close));
  }
}
