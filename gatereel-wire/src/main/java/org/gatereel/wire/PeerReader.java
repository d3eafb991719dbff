package org.gatereel.wire;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.gatereel.core.model.HostId;
import org.gatereel.wire.generated.Envelope;

/** Decodes the messages of one connection: a hello with the id of the peer, then its messages. */
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
      readHello(envelope);
    } else {
      listener.onMessage(peer, MessageDecoder.decode(envelope));
    }
  }

  private void readHello(Envelope envelope) throws MalformedMessageException {
    if (envelope.getMessageCase() != Envelope.MessageCase.HELLO) {
      throw new MalformedMessageException("a connection starts with its sender's name");
    }
    peer = new HostId(envelope.getHello().getHost());
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof MalformedMessageException malformed) {
      listener.onMalformedMessage(String.valueOf(peer), malformed);
    }
    var unused = context.close();
  }
}
