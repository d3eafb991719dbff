package org.gatereel.forward.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.gatereel.core.forward.ResponseEnd;
import org.gatereel.core.model.Address;
import org.gatereel.forward.ControlThread;

/**
 * Sends requests for documents to one address, one at a time, over a kept-alive connection.
 *
 * <p>The connection is closed after a timeout or an error, and replaced after a rest. Requests are
 * never retried.
 */
public final class DocumentClient implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MILLIS = 400;

  /** A connection that has rested for longer may have been lost without a reset. */
  static final long MAX_IDLE_MILLIS = 1_000;

  /** Later timers show that the event loop stood still. */
  private static final long MAX_TIMER_DELAY_MILLIS = 50;

  /** Enough for one pass of the event loop over its connections. */
  private static final long LATE_READ_MILLIS = 20;

  private static final int MAX_DOCUMENT_BYTES = 8 << 20;

  private final EventLoop loop;
  private final Address address;
  private final int maxDocumentBytes;
  private final LongSupplier nowMillis;
  private Channel channel;
  private long usedAt;
  private Consumer<Optional<Document>> pendingCallback;
  private ScheduledFuture<?> timeoutTimer;

  /**
   * A response with its body.
   *
   * @param head the response's status and headers
   * @param isSelfDelimited whether a length or chunks prove that the body is complete; if false,
   *     the end of the connection ended the body, which may be truncated
   */
  @SuppressWarnings("ArrayRecordComponent") // records are never compared
  public record Document(HttpResponse head, byte[] body, boolean isSelfDelimited) {
    public int status() {
      return head.status().code();
    }
  }

  public DocumentClient(EventLoop loop, Address address) {
    this(loop, address, MAX_DOCUMENT_BYTES);
  }

  /**
   * Creates a client for a server that may be faulty.
   *
   * @param maxDocumentBytes the size beyond which a response is an error
   */
  DocumentClient(EventLoop loop, Address address, int maxDocumentBytes) {
    this(loop, address, maxDocumentBytes, ControlThread::nowMillis);
  }

  /**
   * Creates a client with a clock.
   *
   * @param nowMillis the monotonic clock in milliseconds
   */
  DocumentClient(EventLoop loop, Address address, int maxDocumentBytes, LongSupplier nowMillis) {
    this.loop = loop;
    this.address = address;
    this.maxDocumentBytes = maxDocumentBytes;
    this.nowMillis = nowMillis;
  }

  /**
   * Requests a document; the result is empty after a timeout or an error.
   *
   * @throws IllegalStateException if a request is pending
   */
  public void get(String path, long timeoutMillis, Consumer<Optional<Document>> callback) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
    send(request, timeoutMillis, callback);
  }

  /**
   * Sends a JSON document; if the result is empty, the document may or may not have been processed.
   *
   * @throws IllegalStateException if a request is pending
   */
  public void post(
      String path, byte[] json, long timeoutMillis, Consumer<Optional<Document>> callback) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.POST, path, Unpooled.wrappedBuffer(json));
    request.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, json.length);
    send(request, timeoutMillis, callback);
  }

  private void send(
      FullHttpRequest request, long timeoutMillis, Consumer<Optional<Document>> callback) {
    if (pendingCallback != null) {
      throw new IllegalStateException("a request is already pending");
    }
    pendingCallback = callback;
    long timeoutAt = nowMillis.getAsLong() + timeoutMillis;
    timeoutTimer = loop.schedule(() -> onTimeout(timeoutAt), timeoutMillis, TimeUnit.MILLISECONDS);
    request.headers().set(HttpHeaderNames.HOST, address.toString());
    if (isReusable()) {
      channel.writeAndFlush(request);
      return;
    }
    dropConnection();
    connect(request);
  }

  private boolean isReusable() {
    return channel != null
        && channel.isActive()
        && nowMillis.getAsLong() - usedAt <= MAX_IDLE_MILLIS;
  }

  private void connect(FullHttpRequest request) {
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel newChannel) {
                    FramingReader framingReader = new FramingReader();
                    newChannel
                        .pipeline()
                        .addLast(ResponseFraming.codec(HttpMethod.GET))
                        .addLast(framingReader)
                        .addLast(new HttpObjectAggregator(maxDocumentBytes))
                        .addLast(new ResponseHandler(framingReader));
                  }
                })
            .connect(new InetSocketAddress(address.ip(), address.port()));
    channel = connecting.channel();
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            connecting.channel().writeAndFlush(request);
          } else if (channel == connecting.channel()) {
            fail();
          }
        });
  }

  /**
   * Fails the request. If the event loop stood still, it first reads what arrived meanwhile, since
   * it runs due timers before it reads from connections again.
   */
  private void onTimeout(long timeoutAt) {
    if (nowMillis.getAsLong() - timeoutAt > MAX_TIMER_DELAY_MILLIS) {
      timeoutTimer = loop.schedule(this::fail, LATE_READ_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      fail();
    }
  }

  private void fail() {
    dropConnection();
    complete(Optional.empty());
  }

  private void dropConnection() {
    if (channel != null) {
      Channel dropped = channel;
      channel = null;
      dropped.close();
    }
  }

  private void complete(Optional<Document> document) {
    usedAt = nowMillis.getAsLong();
    if (timeoutTimer != null) {
      timeoutTimer.cancel(false);
      timeoutTimer = null;
    }
    Consumer<Optional<Document>> callback = pendingCallback;
    pendingCallback = null;
    if (callback != null) {
      callback.accept(document);
    }
  }

  @Override
  public void close() {
    fail();
  }

  /** Records how the current response is delimited; the aggregated response no longer shows it. */
  private static final class FramingReader extends ChannelInboundHandlerAdapter {
    private Optional<ResponseEnd> end = Optional.empty();

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (message instanceof HttpResponse head) {
        end = endOf(head);
      }
      context.fireChannelRead(message);
    }

    /**
     * Treats an interim response as unusable: its final response must not go to a later request.
     */
    private static Optional<ResponseEnd> endOf(HttpResponse head) {
      return ResponseFraming.isInterim(head)
          ? Optional.empty()
          : ResponseFraming.endOf(HttpMethod.GET, head);
    }
  }

  private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final FramingReader framingReader;

    private ResponseHandler(FramingReader framingReader) {
      this.framingReader = framingReader;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      if (context.channel() != channel) {
        return;
      }
      boolean unusable =
          response.decoderResult().isFailure()
              || pendingCallback == null
              || framingReader.end.isEmpty();
      if (unusable || !HttpUtil.isKeepAlive(response)) {
        dropConnection();
      }
      byte[] body = ByteBufUtil.getBytes(response.content());
      boolean isSelfDelimited =
          !framingReader.end.equals(Optional.of(ResponseEnd.CONNECTION_CLOSED));
      Document document = new Document(headOf(response), body, isSelfDelimited);
      complete(unusable ? Optional.empty() : Optional.of(document));
    }

    /** Copies the head, because the response is released together with its body. */
    private static HttpResponse headOf(FullHttpResponse response) {
      return new DefaultHttpResponse(
          response.protocolVersion(), response.status(), response.headers());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (context.channel() == channel) {
        fail();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      if (context.channel() == channel) {
        fail();
      }
      context.close();
    }
  }
}
