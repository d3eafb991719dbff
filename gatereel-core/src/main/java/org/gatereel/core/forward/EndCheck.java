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
      probe(from);
    }
  }

  private EndVerdict verdict(Attempt from) {
    if (from.answersWithStream()) {
      if (from.events().isWithinEvent()) {
        return EndVerdict.WITHIN_EVENT;
      }
      if (relay.isAheadOf(from)) {
        return EndVerdict.BEHIND_CALLER;
      }
      if (!from.end().isTargetsWord() && !from.hasCome()) {
        return EndVerdict.WITHOUT_EVENT;
      }
    }
    return from.end().isTargetsWord() ? EndVerdict.TARGETS_WORD : EndVerdict.IN_DOUBT;
  }

  private void probe(Attempt from) {
    forwarder
        .port()
        .probe(
            from.target().description(),
            forwarder.policy().unreachableMillis(),
            alive -> probed(from, alive));
  }

  /** Meanwhile the caller may have left, or the attempt may have been given up. */
  private void probed(Attempt from, boolean alive) {
    if (!from.isClosed()) {
      decide(from, alive ? EndVerdict.TARGET_ALIVE : EndVerdict.TARGET_GONE);
    }
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
