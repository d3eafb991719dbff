package org.gatereel.daemon.control;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.gatereel.adapters.platform.PlatformClient;
import org.gatereel.core.event.Event;
import org.gatereel.core.model.HostList;

/** Reads the platform's list of hosts and targets periodically. */
public final class HostListPoller implements AutoCloseable {
  private static final long MIN_INTERVAL_MILLIS = 1_000;
  private static final int TOTAL_READS_PER_SECOND = 18;
  private static final int MILLIS_PER_SECOND = 1_000;

  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "host-list");
            thread.setDaemon(true);
            return thread;
          });
  private final PlatformClient platform;
  private final PeerSender peers;
  private final Inbox inbox;
  private volatile int hostCount = 1;

  public HostListPoller(PlatformClient platform, PeerSender peers, Inbox inbox) {
    this.platform = platform;
    this.peers = peers;
    this.inbox = inbox;
    timer.execute(this::poll);
  }

  private void poll() {
    platform.readHostList(this::onHostList);
    // Keeps the total rate of all hosts constant; peers share the list with each other.
    long interval =
        Math.max(
            MIN_INTERVAL_MILLIS, (long) hostCount * MILLIS_PER_SECOND / TOTAL_READS_PER_SECOND);
    var unused = timer.schedule(this::poll, interval, TimeUnit.MILLISECONDS);
  }

  private void onHostList(HostList list) {
    hostCount = Math.max(1, list.hosts().size());
    peers.updateAddresses(list.hosts());
    inbox.post(new Event.HostListReceived(list));
  }

  @Override
  public void close() {
    timer.shutdownNow();
  }
}
