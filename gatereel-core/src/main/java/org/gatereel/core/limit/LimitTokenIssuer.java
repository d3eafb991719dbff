package org.gatereel.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.TargetId;

/**
 * Lends requests to targets out of their limits, each target's by one host at a time.
 *
 * <p>Hosts learn of each other at different times and find each other silent at different times. So
 * a host that is asked though another one ranks before it asks that one in turn, and lends itself
 * only if it gets no answer.
 */
final class LimitTokenIssuer {
  /**
   * All hosts know of one that has started after 8 s, in which they read each other's entries; so
   * long it leaves lending to those that were there before.
   */
  static final long STARTUP_PERIOD_MILLIS = 10_000;

  /**
   * What a young host lends of a limit if no other lends: two of them, which do not know of each
   * other yet, lend less together than a target bears.
   */
  private static final double YOUNG_PART = 0.6;

  /** Sooner than this hosts that found nothing need not ask again. */
  private static final long SOONEST_MILLIS = 20;

  /** A host asks at least so often, to hear that the limit is another one. */
  private static final long LATEST_MILLIS = 2_000;

  /** Hosts that were told the same time do not all come back at once. */
  private static final double SPREAD = 0.5;

  /** Buckets that nobody takes from are let go; they would be full. */
  private static final long UNUSED_MILLIS = 60_000;

  private final CoreContext context;
  private final AnnouncedLimits book;
  private final IssuerRanking ranking;
  private final TokenPort port;
  private final long startedAt;
  private final Map<TargetId, Bucket> buckets = new HashMap<>();
  private long tidiedAt;

  private static final class Bucket {
    private final TokenBucket tokens;
    private long usedAt;

    private Bucket(long now) {
      tokens = new TokenBucket(now);
    }
  }

  LimitTokenIssuer(
      CoreContext context, AnnouncedLimits book, IssuerRanking ranking, TokenPort port) {
    this.context = context;
    this.book = book;
    this.ranking = ranking;
    this.port = port;
    this.startedAt = context.now();
  }

  /**
   * Lends requests to a target.
   *
   * @param answer is told once, at once or later; empty if another host is to lend
   */
  void issue(TokenRequest.LimitTokens asked, int count, Consumer<Optional<TokenGrant>> answer) {
    book.merge(asked.limit());
    if (asked.forwarded()) {
      answer.accept(isYoung() ? Optional.empty() : Optional.of(lendHere(asked, count)));
      return;
    }
    TargetId target = asked.limit().target();
    Optional<Address> other =
        isYoung()
            ? ranking.otherIssuerFor(target, asked.dataCentre())
            : ranking.issuerFor(target, asked.dataCentre());
    other.ifPresentOrElse(
        host ->
            port.requestTokens(
                host,
                asked.asForwarded(),
                count,
                loan -> answer.accept(orHere(host, loan, asked, count))),
        () -> answer.accept(Optional.of(lendHere(asked, count))));
  }

  private Optional<TokenGrant> orHere(
      Address host, Optional<TokenGrant> loan, TokenRequest.LimitTokens asked, int count) {
    if (loan.isPresent()) {
      return loan;
    }
    ranking.markUnresponsive(host, asked.limit().target());
    return Optional.of(lendHere(asked, count));
  }

  private boolean isYoung() {
    return context.now() - startedAt < STARTUP_PERIOD_MILLIS;
  }

  private TokenGrant lendHere(TokenRequest.LimitTokens asked, int count) {
    tidy();
    TargetId target = asked.limit().target();
    double limit = book.perSecond(target);
    if (limit == Double.POSITIVE_INFINITY) {
      // The target has taken its word back meanwhile, which the asker is about to hear.
      return new TokenGrant(count, 0);
    }
    double part = isYoung() ? YOUNG_PART / ranking.limitDivisor() : 1;
    double perSecond = part * limit;
    Bucket bucket = buckets.computeIfAbsent(target, any -> new Bucket(context.now()));
    bucket.usedAt = context.now();
    int granted = bucket.tokens.take(context.now(), perSecond, count, asked.urgent());
    return new TokenGrant(
        granted, againMillis(bucket.tokens.millisToNext(perSecond, asked.urgent())));
  }

  private long againMillis(long next) {
    double spread = next * (1 + SPREAD * context.random().nextDouble());
    return Math.max(SOONEST_MILLIS, Math.min(LATEST_MILLIS, Math.round(spread)));
  }

  private void tidy() {
    if (context.now() - tidiedAt > UNUSED_MILLIS) {
      tidiedAt = context.now();
      buckets.values().removeIf(bucket -> context.now() - bucket.usedAt > UNUSED_MILLIS);
    }
  }
}
