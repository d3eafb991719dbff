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
final class EndCheck {
  private static final int FIRST_PROBE = 1;

  /** Two probes take three times a probe's time, which a stream may pause without being late. */
  private static final int MOST_PROBES_OF_THE_MOVABLE = 2;

  /** Keeps the time of one probe at 4.8 s, so that a request of half a minute has some ten. */
  private static final int MOST_DOUBLINGS = 5;

  private final Forwarder forwarder;
  private final Exchange exchange;
  private final StreamRelay relay;
  private final ExchangeLog log;

  EndCheck(Forwarder forwarder, Exchange exchange, StreamRelay relay, ExchangeLog log) {
    this.forwarder = forwarder;
    this.exchange = exchange;
    this.relay = relay;
    this.log = log;
  }

  /** An attempt's answer is at its end; the exchange is told what that is taken for. */
  void ended(Attempt from, AnswerEnd end) {
    from.noteEnd(end, forwarder.context().now());
    EndVerdict verdict = verdict(from);
    decide(from, verdict);
    if (verdict == EndVerdict.IN_DOUBT) {
      probe(from, FIRST_PROBE);
    }
  }

  private EndVerdict verdict(Attempt from) {
    if (from.answersWithStream()) {
      if (from.events().isWithinEvent()) {
        return EndVerdict.WITHIN_EVENT;
      }
      if (relay.isCallerAheadOf(from)) {
        return EndVerdict.BEHIND_CALLER;
      }
      if (!from.end().isTargetsWord() && !from.hasCome()) {
        return EndVerdict.WITHOUT_EVENT;
      }
    }
    return from.end().isTargetsWord() ? EndVerdict.TARGETS_WORD : EndVerdict.IN_DOUBT;
  }

  /** Meanwhile the caller may have left, or the attempt may have been given up. */
  private void probe(Attempt from, int number) {
    if (from.isClosed()) {
      return;
    }
    from.noteProbed();
    long nextAt = forwarder.context().now() + patienceMillis(number);
    forwarder
        .port()
        .probe(
            from.target().description(),
            patienceMillis(number),
            result -> probed(from, number, nextAt, result));
  }

  /** Each probe is given twice the time of the one before, since a busy target is slow. */
  private long patienceMillis(int number) {
    return forwarder.policy().unreachableMillis() << Math.min(number - FIRST_PROBE, MOST_DOUBLINGS);
  }

  private void probed(Attempt from, int number, long nextAt, ProbeResult result) {
    if (from.isClosed()) {
      return;
    }
    switch (result) {
      case ALIVE -> decide(from, EndVerdict.TARGET_ALIVE);
      case GONE -> {
        exchange.poison().targetGone(from);
        decide(from, EndVerdict.TARGET_GONE);
      }
      case ANSWERED, UNKNOWN -> unanswered(from, number, nextAt);
    }
  }

  /**
   * Where nothing else can be tried, the target is asked again until the request's time is up. One
   * that resets a probe at once is not asked sooner for it.
   */
  private void unanswered(Attempt from, int number, long nextAt) {
    if (exchange.mayMove() && number >= MOST_PROBES_OF_THE_MOVABLE) {
      decide(from, EndVerdict.TARGET_SILENT);
      return;
    }
    long wait = Math.max(0, nextAt - forwarder.context().now());
    forwarder.context().schedule(wait, () -> probe(from, number + 1));
  }

  private void decide(Attempt from, EndVerdict verdict) {
    if (from.answersWithStream() || !from.end().isTargetsWord()) {
      log.ended(from, verdict);
    }
    if (verdict.failure().isPresent()) {
      exchange.failed(from, verdict.failure().get());
    } else if (verdict != EndVerdict.IN_DOUBT) {
      exchange.whole(from);
    }
  }
}
