package org.gatereel.wire;

import org.gatereel.core.model.HostId;
import org.gatereel.core.peer.PeerMessage;

/** Who is told of what peers send; called on Netty's threads. */
public interface PeerListener {
  void said(HostId from, PeerMessage message);

  /**
   * A message could not be delivered, or a connection broke.
   *
   * @param processGone whether the peer's host refused the connection
   */
  void unreachable(HostId peer, boolean processGone);

  /** A peer sent something that cannot be read; its connection is closed. */
  void malformed(String from, MalformedMessageException failure);
}
