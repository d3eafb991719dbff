package org.gatereel.daemon.control;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.gatereel.core.action.Action;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.HostDescription;
import org.gatereel.core.model.HostId;
import org.gatereel.wire.PeerLinks;

/** Sends messages to peers at their addresses in the settings and the platform's host list. */
public final class PeerSender {
  private final PeerLinks links;
  private final Map<HostId, Address> addresses = new ConcurrentHashMap<>();

  public PeerSender(PeerLinks links) {
    this.links = links;
  }

  /** Updates the addresses of the given hosts; other hosts keep theirs. */
  public void updateAddresses(List<HostDescription> hosts) {
    hosts.forEach(host -> addresses.put(host.id(), host.peerAddress()));
  }

  void drop(HostId peer) {
    links.drop(peer);
  }

  void send(Action.SendPeer send) {
    Address address = addresses.get(send.peer());
    if (address != null) {
      links.send(send.peer(), address, send.message());
    }
  }
}
