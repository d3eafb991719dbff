package org.gatereel.forward.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Reports to a connection that bytes are received, before any of them is parsed. */
final class ReceivedBytesHandler extends ChannelInboundHandlerAdapter {
  private final CallerConnection connection;

  ReceivedBytesHandler(CallerConnection connection) {
    this.connection = connection;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object bytes) throws Exception {
    connection.onBytesReceived();
    super.channelRead(context, bytes);
  }
}
