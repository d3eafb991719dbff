package org.gatereel.core.forward;

import java.util.LinkedHashSet;
import java.util.Set;
import org.gatereel.core.event.TargetFailure;

/**
 * Decides whether a target's response has ended completely.
 *
 * <p>A response whose end the target marked is complete. After a closed connection the target is
 * probed, since the crash of its process looks the same; the response is in doubt until a probe
 * shows whether the target is alive. Each end gets a probe of its own, because the result of an
 * earlier probe is outdated. A stream without events that ends by a closed connection has failed: a
 * live process does not show that the request executed.
 *
 * <p>While a target is silent, the request is also sent to another one. The response stays in doubt
 * then, and completes the request once its target confirms it, unless another target has continued
 * it by then.
 */
final class ResponseEndCheck {
  private static final int FIRST_PROBE = 1;

  /**
   * Two probes take three times the probe timeout, a pause that a stream may have without being
   * late.
   */
  private static final int PROBES_BEFORE_REPLACEMENT = 2;

  /**
   * Limits the timeout of one probe to 4.8 s with the default of 150 ms, so that some ten probes
   * fit into a deadline of 30 s.
   */
  private static final int MAX_TIMEOUT_DOUBLINGS = 5;

  private final Forwarder forwarder;
  private final Exchange exchange;
  private final StreamRelay relay;
  private final ExchangeLog log;
  private final Set<Attempt> inDoubt = new LinkedHashSet<>();

  ResponseEndCheck(Forwarder forwarder, Exchange exchange, StreamRelay relay, ExchangeLog log) {
    this.forwarder = forwarder;
    this.exchange = exchange;
    this.relay = relay;
    this.log = log;
  }

  /** Evaluates the end of an attempt's response and reports the result to the exchange. */
  void onResponseEnd(Attempt from, ResponseEnd end) {
    from.recordEnd(end, forwarder.context().now());
    ResponseEndVerdict verdict = verdict(from);
    apply(from, verdict);
    if (verdict == ResponseEndVerdict.IN_DOUBT) {
      inDoubt.add(from);
      probe(from, FIRST_PROBE);
    }
  }

  /** Returns whether a response that may be whole waits for the confirmation of its target. */
  boolean isInDoubt() {
    inDoubt.removeIf(from -> !exchange.canCompleteWith(from));
    return !inDoubt.isEmpty();
  }

  /** Ends the doubt about an attempt's response, which has failed. */
  void settle(Attempt from) {
    inDoubt.remove(from);
  }

  private ResponseEndVerdict verdict(Attempt from) {
    if (from.isEventStream()) {
      if (from.events().isWithinEvent()) {
        return ResponseEndVerdict.WITHIN_EVENT;
      }
      if (relay.isCallerAheadOf(from)) {
        return ResponseEndVerdict.BEHIND_CALLER;
      }
      if (!from.end().isConfirmedByTarget() && !from.hasReceivedEvents()) {
        return relay.lastEventId().isPresent()
            ? ResponseEndVerdict.NOTHING_TO_ADD
            : ResponseEndVerdict.WITHOUT_EVENT;
      }
    }
    return from.end().isConfirmedByTarget()
        ? ResponseEndVerdict.TARGETS_WORD
        : ResponseEndVerdict.IN_DOUBT;
  }

  private void probe(Attempt from, int number) {
    if (!isPending(from)) {
      return;
    }
    from.recordProbed();
    long nextAt = forwarder.context().now() + probeTimeoutMillis(number);
    forwarder
        .port()
        .probe(
            from.target().description(),
            probeTimeoutMillis(number),
            result -> exchange.steps().run(() -> onProbeResult(from, number, nextAt, result)));
  }

  private boolean isPending(Attempt from) {
    return !exchange.isFinished() && isInDoubt() && inDoubt.contains(from);
  }

  /** Doubles the timeout with each probe, since a busy target responds slowly. */
  private long probeTimeoutMillis(int number) {
    return forwarder.policy().probeTimeoutMillis()
        << Math.min(number - FIRST_PROBE, MAX_TIMEOUT_DOUBLINGS);
  }

  private void onProbeResult(Attempt from, int number, long nextAt, ProbeResult result) {
    if (!isPending(from)) {
      return;
    }
    switch (result) {
      case ALIVE -> {
        settle(from);
        apply(from, ResponseEndVerdict.TARGET_ALIVE);
      }
      case GONE -> {
        settle(from);
        exchange.poison().recordTargetGone(from);
        apply(from, ResponseEndVerdict.TARGET_GONE);
      }
      case ANSWERED -> {
        retryBesides(from, number, ResponseEndVerdict.TARGET_UNCONFIRMED);
        probeAgain(from, number, nextAt);
      }
      case UNKNOWN -> {
        retryBesides(from, number, ResponseEndVerdict.TARGET_SILENT);
        probeAgain(from, number, nextAt);
      }
    }
  }

  /**
   * Sends the request to another target as well, if possible, after several probes without a
   * confirmation.
   */
  private void retryBesides(Attempt from, int number, ResponseEndVerdict verdict) {
    if (!exchange.canMove() || number < PROBES_BEFORE_REPLACEMENT || from.isClosed()) {
      return;
    }
    if (number == PROBES_BEFORE_REPLACEMENT) {
      log.logResponseEnded(from, verdict);
    }
    TargetFailure failure = verdict.failure().orElseThrow();
    if (verdict == ResponseEndVerdict.TARGET_SILENT) {
      exchange.onTargetSilent(failure);
    } else {
      exchange.onTargetUnconfirmed(failure);
    }
  }

  /**
   * Probes again, but not before the last probe's timeout is over, and until the request's deadline
   * or until the doubt has ended.
   */
  private void probeAgain(Attempt from, int number, long nextAt) {
    long delayMillis = Math.max(0, nextAt - forwarder.context().now());
    exchange.steps().schedule(delayMillis, () -> probe(from, number + 1));
  }

  private void apply(Attempt from, ResponseEndVerdict verdict) {
    if (from.isEventStream() || !from.end().isConfirmedByTarget()) {
      log.logResponseEnded(from, verdict);
    }
    if (verdict.failure().isPresent()) {
      exchange.onResponseBroken(from, verdict.failure().get());
    } else if (verdict != ResponseEndVerdict.IN_DOUBT) {
      exchange.onResponseConfirmed(from);
    }
  }
}
