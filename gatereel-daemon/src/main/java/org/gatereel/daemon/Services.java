package org.gatereel.daemon;

import org.gatereel.adapters.HttpClients;
import org.gatereel.daemon.callers.CallerExchanges;
import org.gatereel.daemon.callers.CallerServer;
import org.gatereel.daemon.control.ControlLoop;
import org.gatereel.daemon.control.HostListPoller;
import org.gatereel.daemon.events.EventLog;
import org.gatereel.daemon.kernel.ServiceKey;
import org.gatereel.wire.PeerLinks;

/** The keys of the daemon's services, in the order in which they are started. */
final class Services {
  static final ServiceKey<EventLog> EVENTS = new ServiceKey<>("events", EventLog.class);
  static final ServiceKey<HttpClients> CLIENTS = new ServiceKey<>("clients", HttpClients.class);
  static final ServiceKey<PeerLinks> PEERS = new ServiceKey<>("peers", PeerLinks.class);
  static final ServiceKey<CallerExchanges> EXCHANGES =
      new ServiceKey<>("exchanges", CallerExchanges.class);
  static final ServiceKey<ControlLoop> CONTROL = new ServiceKey<>("control", ControlLoop.class);
  static final ServiceKey<HostListPoller> HOSTS = new ServiceKey<>("hosts", HostListPoller.class);
  static final ServiceKey<CallerServer> CALLERS = new ServiceKey<>("callers", CallerServer.class);

  private Services() {}
}
