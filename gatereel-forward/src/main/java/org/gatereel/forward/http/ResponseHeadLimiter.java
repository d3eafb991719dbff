package org.gatereel.forward.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.LongSupplier;
import org.gatereel.core.event.TargetFailure;

/**
 * Fails a target's response if its final head is not complete within a number of bytes and a time
 * from the first byte. The decoder limits the size of each single head, but neither the number of
 * interim responses nor the control characters that it skips before a status line.
 */
final class ResponseHeadLimiter extends ChannelInboundHandlerAdapter {
  /** Larger than the longest head that the decoder accepts, with some interim ones before it. */
  static final int MAX_BYTES = 96 << 10;

  /** Longer than a sound target may fall silent within a head. */
  static final long MAX_MILLIS = 3_000;

  private final TargetResponseHandler response;
  private final LongSupplier nowMillis;
  private long receivedBytes;
  private long firstByteAt;

  /**
   * Creates a limiter for one response; it must precede the decoder.
   *
   * @param nowMillis the monotonic clock in milliseconds
   */
  ResponseHeadLimiter(TargetResponseHandler response, LongSupplier nowMillis) {
    this.response = response;
    this.nowMillis = nowMillis;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    int bytes = ((ByteBuf) message).readableBytes();
    context.fireChannelRead(message);
    if (response.hasHead()) {
      context.pipeline().remove(this);
      return;
    }
    if (receivedBytes == 0) {
      firstByteAt = nowMillis.getAsLong();
    }
    receivedBytes += bytes;
    if (receivedBytes > MAX_BYTES || nowMillis.getAsLong() - firstByteAt > MAX_MILLIS) {
      response.fail(TargetFailure.INVALID_RESPONSE);
      context.close();
    }
  }
}
