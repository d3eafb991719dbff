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
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.gatereel.core.forward.AnswerEnd;
import org.gatereel.core.model.Address;

/**
 * Fetches documents from one address, one after the other, over a connection that is kept.
 *
 * <p>A connection on which an answer stayed out says nothing further and is closed. Nothing is
 * asked twice here.
 */
public final class DocumentClient implements AutoCloseable {
  private static final int CONNECT_MILLIS = 400;
  private static final int LARGEST_DOCUMENT = 8 << 20;

  private final EventLoop loop;
  private final Address address;
  private Channel channel;
  private Consumer<Optional<Document>> waiting;
  private ScheduledFuture<?> timer;

  /**
   * An answer with its body.
   *
   * @param head the answer's status and headers
   * @param isSelfDelimited whether a length or chunks say that nothing is missing; of a body without,
   *     whose connection ended, a part may be missing unless its text shows its end, as JSON does
   */
  @SuppressWarnings("ArrayRecordComponent") // compared by nobody
  public record Document(HttpResponse head, byte[] body, boolean isSelfDelimited) {
    /** Returns the answer's status. */
    public int status() {
      return head.status().code();
    }
  }

  public DocumentClient(EventLoop loop, Address address) {
    this.loop = loop;
    this.address = address;
  }

  /** Asks for a document; the answer is empty if none came in time. One question at a time. */
  public void get(String path, long timeoutMillis, Consumer<Optional<Document>> answer) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path);
    ask(request, timeoutMillis, answer);
  }

  /** Sends a JSON document; an empty answer leaves open whether it had its effect. */
  public void post(
      String path, byte[] json, long timeoutMillis, Consumer<Optional<Document>> answer) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.POST, path, Unpooled.wrappedBuffer(json));
    request.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, json.length);
    ask(request, timeoutMillis, answer);
  }

  private void ask(
      FullHttpRequest request, long timeoutMillis, Consumer<Optional<Document>> answer) {
    if (waiting != null) {
      throw new IllegalStateException("a question is open");
    }
    waiting = answer;
    timer = loop.schedule(this::fail, timeoutMillis, TimeUnit.MILLISECONDS);
    request.headers().set(HttpHeaderNames.HOST, address.toString());
    if (channel != null && channel.isActive()) {
      channel.writeAndFlush(request);
      return;
    }
    connect(request);
  }

  private void connect(FullHttpRequest request) {
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLIS)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel fresh) {
                    HeadReader heads = new HeadReader();
                    fresh
                        .pipeline()
                        .addLast(new HttpClientCodec())
                        .addLast(heads)
                        .addLast(new HttpObjectAggregator(LARGEST_DOCUMENT))
                        .addLast(new AnswerHandler(heads));
                  }
                })
            .connect(address.ip(), address.port());
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

  private void fail() {
    dropConnection();
    settle(Optional.empty());
  }

  private void dropConnection() {
    if (channel != null) {
      Channel dropped = channel;
      channel = null;
      dropped.close();
    }
  }

  private void settle(Optional<Document> document) {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
    Consumer<Optional<Document>> asker = waiting;
    waiting = null;
    if (asker != null) {
      asker.accept(document);
    }
  }

  @Override
  public void close() {
    fail();
  }

  /** Keeps how the present answer is framed, which it does not show any more when it is whole. */
  private static final class HeadReader extends ChannelInboundHandlerAdapter {
    private Optional<AnswerEnd> end = Optional.empty();

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (message instanceof HttpResponse head) {
        end = endOf(head);
      }
      context.fireChannelRead(message);
    }

    /** An interim answer is as bad as none: what follows it must not go to a later question. */
    private static Optional<AnswerEnd> endOf(HttpResponse head) {
      return ResponseFraming.isInterim(head)
          ? Optional.empty()
          : ResponseFraming.endOf(HttpMethod.GET, head);
    }
  }

  private final class AnswerHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final HeadReader heads;

    private AnswerHandler(HeadReader heads) {
      this.heads = heads;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      if (context.channel() != channel) {
        return;
      }
      boolean broken =
          response.decoderResult().isFailure() || waiting == null || heads.end.isEmpty();
      if (broken || !HttpUtil.isKeepAlive(response)) {
        dropConnection();
      }
      byte[] body = ByteBufUtil.getBytes(response.content());
      boolean hasOwnEnd = !heads.end.equals(Optional.of(AnswerEnd.CONNECTION_CLOSED));
      Document document = new Document(headOf(response), body, hasOwnEnd);
      settle(broken ? Optional.empty() : Optional.of(document));
    }

    /** Copies the head, since the answer itself is released with its body. */
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
