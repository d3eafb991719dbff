package org.gatereel.wire;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.gatereel.core.model.HostId;
import org.gatereel.wire.generated.Envelope;

/** Reads one peer's connection: first who it is, then what it says. */
final class PeerReader extends SimpleChannelInboundHandler<Envelope> {
  private final PeerListener listener;
  private HostId peer;

  PeerReader(PeerListener listener) {
    this.listener = listener;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Envelope envelope)
      throws MalformedMessageException {
    if (peer == null) {
      greet(envelope);
    } else {
      listener.said(peer, MessageDecoder.decode(envelope));
    }
  }

  private void greet(Envelope envelope) throws MalformedMessageException {
    if (envelope.getMessageCase() != Envelope.MessageCase.HELLO) {
      throw new MalformedMessageException("a connection starts with its sender's name");
    }
    peer = new HostId(envelope.getHello().getHost());
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof MalformedMessageException malformed) {
      listener.malformed(String.valueOf(peer), malformed);
    }
    var unused = context.close();
  }
}
