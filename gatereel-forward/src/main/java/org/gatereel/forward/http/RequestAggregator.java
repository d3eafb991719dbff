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
import org.gatereel.core.configuration.InboundLimits;

/**
 * Aggregates requests with their bodies and marks requests with too long a body as failed.
 *
 * <p>100 (Continue) is delayed while an earlier request awaits its response, because the caller
 * would take it for that response.
 */
final class RequestAggregator extends HttpObjectAggregator {
  private final InboundLimits limits;
  private final BooleanSupplier hasPendingResponse;
  private boolean continueDelayed;

  /**
   * Makes an aggregator.
   *
   * @param limits contains the maximum length of a body
   * @param hasPendingResponse whether an earlier request awaits its response
   */
  RequestAggregator(InboundLimits limits, BooleanSupplier hasPendingResponse) {
    super(limits.maxBodyBytes());
    this.limits = limits;
    this.hasPendingResponse = hasPendingResponse;
  }

  InboundLimits limits() {
    return limits;
  }

  BooleanSupplier hasPendingResponse() {
    return hasPendingResponse;
  }

  @Override
  protected Object newContinueResponse(HttpMessage start, int maxBytes, ChannelPipeline pipeline) {
    if (HttpUtil.getContentLength(start, 0L) > maxBytes) {
      return null;
    }
    Object response = super.newContinueResponse(start, maxBytes, pipeline);
    continueDelayed = response != null && hasPendingResponse.getAsBoolean();
    return continueDelayed ? null : response;
  }

  /** Sends the delayed 100 (Continue) once no request awaits its response. */
  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
    if (event == CallerEvent.ALL_ANSWERED && continueDelayed) {
      continueDelayed = false;
      context.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
    super.userEventTriggered(context, event);
  }

  /** Cancels the delayed 100 (Continue): the caller sent the body without it. */
  @Override
  protected void finishAggregation(FullHttpMessage fullMessage) throws Exception {
    continueDelayed = false;
    super.finishAggregation(fullMessage);
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
        DecoderResult.failure(new TooLongHttpContentException("request body is too long")));
    context.fireChannelRead(failed);
  }
}
