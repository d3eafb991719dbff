package org.gatereel.core.forward;

/**
 * Decides whether the end of a target's answer is the end of a whole answer.
 *
 * <p>Only a target's own word makes an answer whole. A connection that was closed in order is none,
 * since that of a process that ends looks the same; the target is then probed, and the attempt
 * stays open until it is known whether it lives. A probe that was sent before the end would tell of
 * the time before, so that each end is given one of its own. A stream's run without events has
 * nothing but the target's word: that its process lives does not show that it ran.
 */
final class ResponseEndCheck {
  private static final int FIRST_PROBE = 1;

  /** Two probes take three times a probe's time, which a stream may pause without being late. */
  private static final int MAX_PROBES_OF_MOVABLE = 2;

  /** Keeps the time of one probe at 4.8 s, so that a request of half a minute has some ten. */
  private static final int MAX_TIMEOUT_DOUBLINGS = 5;

  private final Forwarder forwarder;
  private final Exchange exchange;
  private final StreamRelay relay;
  private final ExchangeLog log;

  ResponseEndCheck(Forwarder forwarder, Exchange exchange, StreamRelay relay, ExchangeLog log) {
    this.forwarder = forwarder;
    this.exchange = exchange;
    this.relay = relay;
    this.log = log;
  }

  /** An attempt's answer is at its end; the exchange is told what that is taken for. */
  void onResponseEnd(Attempt from, ResponseEnd end) {
    from.recordEnd(end, forwarder.context().now());
    ResponseEndVerdict verdict = verdict(from);
    apply(from, verdict);
    if (verdict == ResponseEndVerdict.IN_DOUBT) {
      probe(from, FIRST_PROBE);
    }
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
        return ResponseEndVerdict.WITHOUT_EVENT;
      }
    }
    return from.end().isConfirmedByTarget()
        ? ResponseEndVerdict.TARGETS_WORD
        : ResponseEndVerdict.IN_DOUBT;
  }

  /** Meanwhile the caller may have left, or the attempt may have been given up. */
  private void probe(Attempt from, int number) {
    if (from.isClosed()) {
      return;
    }
    from.recordProbed();
    long nextAt = forwarder.context().now() + probeTimeoutMillis(number);
    forwarder
        .port()
        .probe(
            from.target().description(),
            probeTimeoutMillis(number),
            result -> onProbeResult(from, number, nextAt, result));
  }

  /** Each probe is given twice the time of the one before, since a busy target is slow. */
  private long probeTimeoutMillis(int number) {
    return forwarder.policy().probeTimeoutMillis()
        << Math.min(number - FIRST_PROBE, MAX_TIMEOUT_DOUBLINGS);
  }

  private void onProbeResult(Attempt from, int number, long nextAt, ProbeResult result) {
    if (from.isClosed()) {
      return;
    }
    switch (result) {
      case ALIVE -> apply(from, ResponseEndVerdict.TARGET_ALIVE);
      case GONE -> {
        exchange.poison().recordTargetGone(from);
        apply(from, ResponseEndVerdict.TARGET_GONE);
      }
      case ANSWERED, UNKNOWN -> probeAgainOrFail(from, number, nextAt);
    }
  }

  /**
   * Where nothing else can be tried, the target is asked again until the request's time is up. One
   * that resets a probe at once is not asked sooner for it.
   */
  private void probeAgainOrFail(Attempt from, int number, long nextAt) {
    if (exchange.canMove() && number >= MAX_PROBES_OF_MOVABLE) {
      apply(from, ResponseEndVerdict.TARGET_SILENT);
      return;
    }
    long wait = Math.max(0, nextAt - forwarder.context().now());
    forwarder.context().after(wait, () -> probe(from, number + 1));
  }

  private void apply(Attempt from, ResponseEndVerdict verdict) {
    if (from.isEventStream() || !from.end().isConfirmedByTarget()) {
      log.logResponseEnded(from, verdict);
    }
    if (verdict.failure().isPresent()) {
      exchange.onAttemptFailed(from, verdict.failure().get());
    } else if (verdict != ResponseEndVerdict.IN_DOUBT) {
      exchange.onCompleteResponse(from);
    }
  }
}
