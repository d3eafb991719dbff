package org.gatereel.wire;

import org.gatereel.core.model.HostId;
import org.gatereel.core.peer.PeerMessage;

/** Receives the messages and failures of connections to peers. Called on Netty's threads. */
public interface PeerListener {
  void onMessage(HostId from, PeerMessage message);

  /**
   * Called when a message could not be delivered or a connection was closed.
   *
   * @param processGone whether the peer's host refused the connection
   */
  void onUnreachable(HostId peer, boolean processGone);

  /** Called when a peer sent a message that cannot be decoded; its connection is closed. */
  void onMalformedMessage(String from, MalformedMessageException failure);
}
