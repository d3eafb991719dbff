package org.gatereel.daemon;

import java.security.SecureRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.gatereel.adapters.HttpClients;
import org.gatereel.adapters.platform.PlatformClient;
import org.gatereel.adapters.targets.EngineClient;
import org.gatereel.adapters.targets.ServiceClient;
import org.gatereel.core.EntryHost;
import org.gatereel.core.GatereelException;
import org.gatereel.core.HostStatus;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.Event;
import org.gatereel.core.event.EventCode;
import org.gatereel.daemon.callers.CallerExchanges;
import org.gatereel.daemon.callers.CallerServer;
import org.gatereel.daemon.control.ActionDispatcher;
import org.gatereel.daemon.control.ControlLoop;
import org.gatereel.daemon.control.HostListPoller;
import org.gatereel.daemon.control.Inbox;
import org.gatereel.daemon.control.PeerSender;
import org.gatereel.daemon.events.EventLog;
import org.gatereel.daemon.kernel.Kernel;
import org.gatereel.daemon.settings.Settings;
import org.gatereel.wire.PeerLinks;

/** An entry host: starts its services in order and shuts them down. */
public final class Daemon implements AutoCloseable {
  private static final long DRAIN_POLL_INTERVAL_MILLIS = 50;
  private static final long CONTROL_TIMEOUT_MILLIS = 2_000;

  private final Settings settings;
  private final Kernel kernel = new Kernel();
  private final EventLog events;
  private final ControlLoop control;
  private volatile boolean stopping;

  /**
   * Starts all services.
   *
   * @throws GatereelException if a service cannot start; the services that were started are closed
   */
  public Daemon(Settings settings) throws GatereelException {
    this.settings = settings;
    try {
      events = kernel.start(Services.EVENTS, services -> new EventLog(settings));
      control = startTraffic();
    } catch (GatereelException e) {
      kernel.close();
      throw e;
    }
  }

  private ControlLoop startTraffic() throws GatereelException {
    Inbox inbox = new Inbox(events);
    HttpClients clients = kernel.start(Services.CLIENTS, services -> new HttpClients());
    PeerLinks links =
        kernel.start(Services.PEERS, services -> new PeerLinks(settings.host(), inbox));
    CallerExchanges exchanges =
        kernel.start(
            Services.EXCHANGES,
            services -> new CallerExchanges(settings.mostWaitingBytes(), inbox::post));
    PlatformClient platform = new PlatformClient(clients.platform(), settings.platform());
    PeerSender peers = new PeerSender(links);
    peers.updateAddresses(settings.peers());
    ActionDispatcher dispatcher =
        new ActionDispatcher(
            events,
            exchanges,
            platform,
            new EngineClient(clients.streaming(), inbox),
            new ServiceClient(clients.unpooled(), inbox),
            peers,
            inbox::post);
    EntryHost core =
        new EntryHost(
            settings.host(), settings.dataCentre(), new SecureRandom(), settings.storeLimits());
    ControlLoop loop =
        kernel.start(Services.CONTROL, services -> new ControlLoop(core, events, dispatcher));
    inbox.connect(loop);
    links.listen(settings.peerAddress());
    loop.start(settings.peers());
    kernel.start(Services.HOSTS, services -> new HostListPoller(platform, peers, inbox));
    kernel.start(
        Services.CALLERS,
        services ->
            new CallerServer(
                settings, exchanges, loop, events, platform, () -> !stopping, this::markNotReady));
    addGauges(loop, links);
    return loop;
  }

  private void addGauges(ControlLoop loop, PeerLinks links) {
    events.addGauge("peer_bytes_sent", links::bytesSent);
    events.addGauge("peer_messages_sent", links::messagesSent);
    events.addGauge("table_revision", () -> status(loop).revision());
    events.addGauge("open_generations", () -> status(loop).openGenerations());
    events.addGauge("owned_generations", () -> status(loop).ownedGenerations());
    events.addGauge("held_copies", () -> status(loop).heldCopies());
    events.addGauge("waiting_requests", () -> status(loop).waiting());
    events.addGauge("open_calls", () -> status(loop).openCalls());
  }

  private static HostStatus status(ControlLoop loop) {
    try {
      return loop.query(EntryHost::status).get(CONTROL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while waiting for the host status", e);
    } catch (ExecutionException | TimeoutException e) {
      throw new IllegalStateException(
          "the control thread did not return the host status in time", e);
    }
  }

  /** Makes the readiness check fail; requests are still served. */
  public void markNotReady() {
    stopping = true;
  }

  /**
   * Shuts down gracefully.
   *
   * <p>Makes the readiness check fail, waits until the balancer stops sending requests, drains the
   * open requests for a limited time and closes all services.
   */
  public void stop() throws InterruptedException, GatereelException {
    markNotReady();
    TimeUnit.MILLISECONDS.sleep(settings.balancerMillis());
    control.post(new Event.DrainRequested());
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.drainMillis());
    while (openRequests() > 0 && System.nanoTime() < deadline) {
      TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_INTERVAL_MILLIS);
    }
    close();
  }

  private int openRequests() {
    try {
      return control.query(EntryHost::openCount).get(CONTROL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      return 1;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 0;
    }
  }

  @Override
  public void close() throws GatereelException {
    events.recordEvent(new Action.LogEvent(EventCode.HOST_STOPPED, settings.host().value(), ""));
    kernel.close();
  }
}
