package org.gatereel.core.reach;

import java.util.List;

/** Lists the hosts that may relay connections. */
public interface RelayDirectory {
  /** Returns all known hosts but this one. */
  List<RelayPeer> relayPeers();
}
