package org.gatereel.forward;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.forward.Forwarder;
import org.gatereel.core.forward.RequestGate;
import org.gatereel.forward.http.CallerServer;
import org.gatereel.forward.log.ForwardLog;
import org.gatereel.forward.relay.RelayServer;
import org.gatereel.forward.settings.ForwardSettings;

/**
 * Ends a host's service without a caller that misses a response.
 *
 * <p>Requests are accepted as long as the load balancer may send callers. The host then waits until
 * no request is open and every connection was closed at rest or after its last response. At the
 * deadline the open requests are rejected or aborted, and the last responses are written.
 */
final class GracefulShutdown {
  /** For this time after readiness is withdrawn, the load balancer may still send callers. */
  private static final long BALANCER_DELAY_MILLIS = 2_600;

  /** The part of the grace period that is reserved for the exit of the process. */
  private static final long EXIT_RESERVE_MILLIS = 800;

  /** The part of the grace period before the exit in which the last responses are written. */
  private static final long LAST_WRITE_MILLIS = 200;

  private static final long DRAIN_CHECK_INTERVAL_MILLIS = 100;
  private static final long EXIT_CHECK_INTERVAL_MILLIS = 20;

  private final ControlThread control;
  private final ForwardLog log;
  private final ForwardSettings settings;
  private final CallerServer callers;
  private final RelayServer relayServer;
  private final RequestGate requests;
  private final Forwarder forwarder;
  private final CountDownLatch ended = new CountDownLatch(1);
  private final long balancerDeadlineMillis;
  private final long deadlineMillis;

  GracefulShutdown(
      ControlThread control,
      ForwardLog log,
      ForwardSettings settings,
      CallerServer callers,
      RelayServer relayServer,
      RequestGate requests,
      Forwarder forwarder) {
    this.control = control;
    this.log = log;
    this.settings = settings;
    this.callers = callers;
    this.relayServer = relayServer;
    this.requests = requests;
    this.forwarder = forwarder;
    long nowMillis = ControlThread.nowMillis();
    balancerDeadlineMillis = nowMillis + BALANCER_DELAY_MILLIS;
    deadlineMillis =
        nowMillis + settings.bounds().graceMillis() - EXIT_RESERVE_MILLIS - LAST_WRITE_MILLIS;
  }

  /** Ends the service; returns when it has ended or the grace period expires. */
  void run() throws InterruptedException {
    control.loop().execute(this::begin);
    ended.await(settings.bounds().graceMillis(), TimeUnit.MILLISECONDS);
  }

  private void begin() {
    callers.drain();
    relayServer.drain();
    log.event(
        EventCode.HOST_DRAINING,
        settings.host(),
        "openRequests=" + openRequests() + " connections=" + callers.openConnections());
    forwarder.beginShutdown(balancerDeadlineMillis, deadlineMillis);
    check();
  }

  private void check() {
    long nowMillis = ControlThread.nowMillis();
    if (nowMillis >= deadlineMillis) {
      callers.stopListening();
      control.run(this::endRequests);
      finishWrites();
    } else if (nowMillis >= balancerDeadlineMillis && closeUnused()) {
      end(true);
    } else {
      schedule(this::check, DRAIN_CHECK_INTERVAL_MILLIS);
    }
  }

  private int openRequests() {
    return requests.heldCount() + forwarder.openExchangeCount();
  }

  private void endRequests() {
    requests.releaseAll();
    forwarder.stopAll();
  }

  /** Closes what nobody uses any more; returns whether nothing is left. */
  private boolean closeUnused() {
    callers.closeUnusedConnections();
    boolean isIdle = openRequests() == 0 && relayServer.openCount() == 0;
    if (isIdle) {
      callers.stopListening();
    }
    return isIdle && !callers.isListening() && callers.openConnections() == 0;
  }

  private void finishWrites() {
    callers.rejectIncompleteRequests();
    boolean isWritten = !callers.isListening() && callers.isAtRest();
    if (isWritten || ControlThread.nowMillis() >= deadlineMillis + LAST_WRITE_MILLIS) {
      end(false);
    } else {
      schedule(this::finishWrites, EXIT_CHECK_INTERVAL_MILLIS);
    }
  }

  private void end(boolean inTime) {
    log.event(
        EventCode.HOST_STOPPED,
        settings.host(),
        "inTime=" + inTime + " connections=" + callers.openConnections());
    ended.countDown();
  }

  private void schedule(Runnable task, long delayMillis) {
    control.loop().schedule(task, delayMillis, TimeUnit.MILLISECONDS);
  }
}
