package org.gatereel.wire;

import org.gatereel.core.model.HostId;
import org.gatereel.core.peer.PeerMessage;

/** Who is told of what peers send; called on Netty's threads. */
public interface PeerListener {
  void said(HostId from, PeerMessage message);

  void unreachable(HostId peer);

  /** A peer sent something that cannot be read; its connection is closed. */
  void malformed(String from, MalformedMessageException failure);
}
