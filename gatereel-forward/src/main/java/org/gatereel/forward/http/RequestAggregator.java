package org.gatereel.forward.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.util.function.BooleanSupplier;

/**
 * Puts requests together with their bodies; one whose body is too long is passed on as failed.
 *
 * <p>It writes nothing while an answer is owed: the caller would take it for that answer.
 */
final class RequestAggregator extends HttpObjectAggregator {
  private final BooleanSupplier answering;
  private boolean owesContinue;

  /**
   * Makes an aggregator.
   *
   * @param answering whether an answer is owed
   */
  RequestAggregator(int bodyBytes, BooleanSupplier answering) {
    super(bodyBytes);
    this.answering = answering;
  }

  @Override
  protected Object newContinueResponse(HttpMessage start, int mostBytes, ChannelPipeline pipeline) {
    if (HttpUtil.getContentLength(start, 0L) > mostBytes) {
      return null;
    }
    Object response = super.newContinueResponse(start, mostBytes, pipeline);
    owesContinue = response != null && answering.getAsBoolean();
    return owesContinue ? null : response;
  }

  /** Once all answers are given, a caller that waits to be asked for a body is asked. */
  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
    if (event == CallerEvent.ALL_ANSWERED && owesContinue) {
      owesContinue = false;
      context.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
    super.userEventTriggered(context, event);
  }

  /** The body came unasked. */
  @Override
  protected void finishAggregation(FullHttpMessage whole) throws Exception {
    owesContinue = false;
    super.finishAggregation(whole);
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
    HttpRequest request = (HttpRequest) oversized;
    FullHttpRequest failed =
        new DefaultFullHttpRequest(
            request.protocolVersion(),
            request.method(),
            request.uri(),
            Unpooled.EMPTY_BUFFER,
            request.headers(),
            EmptyHttpHeaders.INSTANCE);
    failed.setDecoderResult(
        DecoderResult.failure(new TooLongHttpContentException("the body is too long")));
    context.fireChannelRead(failed);
  }
}
