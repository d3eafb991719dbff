package org.gatereel.forward.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.gatereel.core.model.Address;

/**
 * An HTTP server for internal pages such as readiness, metrics and documents.
 *
 * <p>A page is rendered for each request.
 */
public final class StatusServer implements AutoCloseable {
  /** Sufficient for a load report of 2,000 targets. */
  private static final int MAX_REQUEST_BYTES = 64 << 10;

  /** The response to a request whose head is invalid or truncated. */
  private static final Page BAD_REQUEST = new Page(400, "bad request\n");

  private static final Page NOT_FOUND = new Page(404, "no such page\n");

  private final EventLoop loop;
  private final Map<String, AsyncPage> pages = new LinkedHashMap<>();
  private final Map<String, Function<byte[], Page>> receivers = new HashMap<>();
  private BiConsumer<FullHttpRequest, Channel> connectHandler;
  private Channel listener;

  /** A page with its HTTP status. */
  public record Page(int status, String text) {}

  /** Renders a page from a request target, immediately or later. */
  public interface AsyncPage {
    /** Passes the page to {@code callback} exactly once. */
    void respond(String target, Consumer<Page> callback);
  }

  public StatusServer(EventLoop loop) {
    this.loop = loop;
  }

  /** Adds a page; {@code path} begins with a slash. */
  public StatusServer addPage(String path, Supplier<Page> page) {
    return addQueryPage(path, target -> page.get());
  }

  /** Adds a page that is rendered from the request target with its query. */
  public StatusServer addQueryPage(String path, Function<String, Page> page) {
    return addAsyncPage(path, (target, callback) -> callback.accept(page.apply(target)));
  }

  /** Adds a page that is rendered from the request target with its query, possibly later. */
  public StatusServer addAsyncPage(String path, AsyncPage page) {
    pages.put(path, page);
    return this;
  }

  /** Adds a page that is rendered from the body of a request. */
  public StatusServer addReceiver(String path, Function<byte[], Page> page) {
    receivers.put(path, page);
    return this;
  }

  /**
   * Sets the handler of {@code CONNECT} requests, which responds to them and then owns the channel.
   */
  public StatusServer setConnectHandler(BiConsumer<FullHttpRequest, Channel> handler) {
    connectHandler = handler;
    return this;
  }

  /** Begins to listen; fails if the address cannot be bound. */
  public void start(Address address) {
    listener =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel
                        .pipeline()
                        .addLast(new HttpServerCodec())
                        .addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
                        .addLast(new PageHandler());
                  }
                })
            .bind(address.ip(), address.port())
            .syncUninterruptibly()
            .channel();
  }

  @Override
  public void close() {
    if (listener != null) {
      listener.close();
    }
  }

  private final class PageHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      if (request.decoderResult().isFailure()) {
        write(context, BAD_REQUEST, false);
        return;
      }
      if (connectHandler != null && request.method().equals(HttpMethod.CONNECT)) {
        connectHandler.accept(request, context.channel());
        return;
      }
      boolean keepAlive = HttpUtil.isKeepAlive(request);
      respond(request, page -> write(context, page, keepAlive));
    }

    private void write(ChannelHandlerContext context, Page page, boolean keepAlive) {
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.valueOf(page.status()),
              Unpooled.wrappedBuffer(page.text().getBytes(StandardCharsets.UTF_8)));
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
      ChannelFuture written = context.writeAndFlush(response);
      if (!keepAlive) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
    }

    private void respond(FullHttpRequest request, Consumer<Page> callback) {
      String path = request.uri().split("\\?", 2)[0];
      Function<byte[], Page> receiver = receivers.get(path);
      if (receiver != null) {
        callback.accept(receiver.apply(ByteBufUtil.getBytes(request.content())));
        return;
      }
      AsyncPage page = pages.get(path);
      if (page == null) {
        callback.accept(NOT_FOUND);
      } else {
        page.respond(request.uri(), callback);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
