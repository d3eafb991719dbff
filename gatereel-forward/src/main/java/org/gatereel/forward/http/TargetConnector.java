package org.gatereel.forward.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.forward.Dispatch;
import org.gatereel.core.forward.TargetPort;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.reach.ConnectOutcome;
import org.gatereel.core.reach.TargetReachability;
import org.gatereel.core.statement.Announcements;
import org.gatereel.forward.ControlThread;
import org.gatereel.forward.HeaderNames;
import org.gatereel.forward.TargetDialect;

/**
 * Sends requests to targets, each on a new connection.
 *
 * <p>A new connection carries no leftover response of an earlier request and has not been closed by
 * the target while idle. So a response always belongs to its request, and a failure to connect
 * proves that the target did not receive the request. Requests are not retried by this class.
 */
public final class TargetConnector implements TargetPort {
  private static final int CONNECT_TIMEOUT_MILLIS = 250;

  private final ControlThread control;
  private final TargetDialect dialect;
  private final HeaderNames names;
  private final TargetReachability reachability;
  private final UnaryOperator<Address> translation;
  private final Bootstrap bootstrap;

  /**
   * Creates a connector.
   *
   * @param translation returns the address at which this host reaches a target, from the one that
   *     the platform lists
   */
  public TargetConnector(
      ControlThread control,
      TargetDialect dialect,
      TargetReachability reachability,
      UnaryOperator<Address> translation) {
    this.control = control;
    this.reachability = reachability;
    this.translation = translation;
    this.dialect = dialect;
    this.names = dialect.headers();
    this.bootstrap =
        new Bootstrap()
            .group(control.loop())
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
  }

  @Override
  public Call send(Dispatch dispatch, Listener listener) {
    IncomingRequest request = (IncomingRequest) dispatch.request();
    TargetCallHandler handler =
        new TargetCallHandler(
            control,
            request.method(),
            listener,
            head -> TargetResponseHead.read(head, request.id(), names));
    Channel channel = open(dispatch.target(), handler, outgoingRequest(request, dispatch));
    return () -> {
      handler.stopReporting();
      channel.close();
    };
  }

  @Override
  public void probe(TargetDescription target, long timeoutMillis, ProbeListener listener) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, dialect.probePath());
    request.headers().set(HttpHeaderNames.HOST, target.address().toString());
    request.headers().set(names.expectedTarget(), target.id().value());
    ProbeHandler handler = new ProbeHandler(control, target.id(), dialect, listener);
    Channel channel = open(target, handler, request);
    control
        .loop()
        .schedule(
            () -> {
              handler.fail(TargetFailure.TIMEOUT);
              channel.close();
            },
            timeoutMillis,
            TimeUnit.MILLISECONDS);
  }

  @Override
  public void listPrompts(
      TargetDescription target,
      long timeoutMillis,
      Consumer<Announcements> announcementListener,
      Consumer<Optional<Set<String>>> result) {
    DocumentClient client = new DocumentClient(control.loop(), translation.apply(target.address()));
    client.get(
        dialect.promptsPath(),
        timeoutMillis,
        document -> {
          Optional<Set<String>> parts =
              document
                  .filter(found -> found.status() == HttpResponseStatus.OK.code())
                  .flatMap(found -> dialect.readPrompts(found.body()));
          control.run(
              () -> {
                document.ifPresent(
                    found ->
                        announcementListener.accept(AnnouncementHeaders.read(found.head(), names)));
                result.accept(parts);
              });
          client.close();
        });
  }

  private Channel open(
      TargetDescription target, TargetResponseHandler handler, FullHttpRequest request) {
    Address address = translation.apply(target.address());
    long startedAtMillis = ControlThread.nowMillis();
    ChannelFuture connecting =
        bootstrap
            .clone()
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(ResponseFraming.codec()).addLast(handler);
                  }
                })
            .connect(new InetSocketAddress(address.ip(), address.port()));
    connecting.addListener(
        done -> {
          long millis = ControlThread.nowMillis() - startedAtMillis;
          ConnectOutcome outcome = outcome(done.cause());
          control.run(() -> reachability.recordDirect(target.id(), outcome, millis));
          if (!done.isSuccess()) {
            handler.connectFailed(done.cause());
          } else if (handler.prepareSend()) {
            connecting.channel().writeAndFlush(request);
          } else {
            connecting.channel().close();
          }
        });
    return connecting.channel();
  }

  private static ConnectOutcome outcome(Throwable failure) {
    if (failure == null) {
      return ConnectOutcome.CONNECTED;
    }
    if (failure instanceof ConnectTimeoutException) {
      return ConnectOutcome.TIMED_OUT;
    }
    return failure instanceof ConnectException ? ConnectOutcome.REFUSED : ConnectOutcome.FAILED;
  }

  private FullHttpRequest outgoingRequest(IncomingRequest request, Dispatch dispatch) {
    FullHttpRequest outgoingRequest =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            request.method(),
            request.uri(),
            Unpooled.wrappedBuffer(request.body()));
    HttpHeaders headers = outgoingRequest.headers();
    HopByHopHeaders.copy(request.headers(), headers, names.reservedNames());
    if (hasBody(request)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
    }
    headers.set(names.remainingMillis(), dispatch.remainingMillis());
    headers.set(names.expectedTarget(), dispatch.target().id().value());
    dispatch.account().ifPresent(account -> headers.set(names.account(), account.value()));
    dispatch
        .lastEventId()
        .ifPresent(id -> headers.set(HeaderNames.LAST_EVENT_ID, Long.toString(id)));
    dispatch.copyTo().ifPresent(address -> headers.set(names.copyTo(), address.toString()));
    dispatch
        .continueFrom()
        .ifPresent(address -> headers.set(names.continueFrom(), address + "/" + request.id()));
    dispatch.urgency().ifPresent(urgency -> headers.set(names.urgency(), urgency));
    return outgoingRequest;
  }

  private static boolean hasBody(IncomingRequest request) {
    return request.body().length > 0
        || request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
        || request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING);
  }
}
