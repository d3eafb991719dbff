package org.gatereel.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.TargetId;

/**
 * Issues tokens out of the limits that targets have announced; each target has one issuer at a
 * time.
 *
 * <p>Hosts may disagree on which host is the issuer. A host that is asked although another one
 * ranks higher therefore forwards the request, and issues tokens itself only if it gets no
 * response.
 */
final class LimitTokenIssuer {
  /**
   * How long a host leaves issuing to others after its start. Longer than all hosts take to learn
   * of it, since they read each other's entries every 8 s.
   */
  static final long STARTUP_PERIOD_MILLIS = 10_000;

  /**
   * The ratio of a limit that a starting host issues if no other host does. Two starting hosts may
   * not know of each other; together they issue less than a target tolerates.
   */
  private static final double STARTUP_LIMIT_RATIO = 0.6;

  private static final long MIN_RETRY_DELAY_MILLIS = 20;

  /** Bounds the time until a host learns of a changed limit. */
  private static final long MAX_RETRY_DELAY_MILLIS = 2_000;

  /** Spreads the next requests of hosts that were rejected at the same time. */
  private static final double JITTER_RATIO = 0.5;

  private static final long BUCKET_IDLE_TIMEOUT_MILLIS = 60_000;

  private final CoreContext context;
  private final AnnouncedLimits limits;
  private final IssuerRanking ranking;
  private final TokenPort port;
  private final long startedAt;
  private final Map<TargetId, Bucket> buckets = new HashMap<>();
  private long lastCleanupAt;

  private static final class Bucket {
    private final TokenBucket tokens;
    private long usedAt;

    private Bucket(long now) {
      tokens = new TokenBucket(now);
    }
  }

  LimitTokenIssuer(
      CoreContext context, AnnouncedLimits limits, IssuerRanking ranking, TokenPort port) {
    this.context = context;
    this.limits = limits;
    this.ranking = ranking;
    this.port = port;
    this.startedAt = context.now();
  }

  /**
   * Issues tokens for requests to a target.
   *
   * @param callback called once, immediately or later; empty if another host is the issuer
   */
  void issue(TokenRequest.LimitTokens request, int count, Consumer<Optional<TokenGrant>> callback) {
    limits.merge(request.limit());
    if (request.forwarded()) {
      callback.accept(
          isStartingUp() ? Optional.empty() : Optional.of(issueLocally(request, count)));
      return;
    }
    TargetId target = request.limit().target();
    Optional<Address> other =
        isStartingUp()
            ? ranking.otherIssuerFor(target, request.dataCentre())
            : ranking.issuerFor(target, request.dataCentre());
    other.ifPresentOrElse(
        host ->
            port.requestTokens(
                host,
                request.asForwarded(),
                count,
                grant -> callback.accept(orIssueLocally(host, grant, request, count))),
        () -> callback.accept(Optional.of(issueLocally(request, count))));
  }

  private Optional<TokenGrant> orIssueLocally(
      Address host, Optional<TokenGrant> grant, TokenRequest.LimitTokens request, int count) {
    if (grant.isPresent()) {
      return grant;
    }
    ranking.markUnresponsive(host, request.limit().target());
    return Optional.of(issueLocally(request, count));
  }

  private boolean isStartingUp() {
    return context.now() - startedAt < STARTUP_PERIOD_MILLIS;
  }

  private TokenGrant issueLocally(TokenRequest.LimitTokens request, int count) {
    removeIdleBuckets();
    TargetId target = request.limit().target();
    double limit = limits.perSecond(target);
    if (limit == Double.POSITIVE_INFINITY) {
      // The target no longer has a limit; the requesting host has not received that yet.
      return new TokenGrant(count, 0);
    }
    double ratio = isStartingUp() ? STARTUP_LIMIT_RATIO / ranking.limitDivisor() : 1;
    double perSecond = ratio * limit;
    Bucket bucket = buckets.computeIfAbsent(target, any -> new Bucket(context.now()));
    bucket.usedAt = context.now();
    int granted = bucket.tokens.take(context.now(), perSecond, count, request.urgent());
    return new TokenGrant(
        granted, retryAfterMillis(bucket.tokens.millisToNext(perSecond, request.urgent())));
  }

  private long retryAfterMillis(long millisToNext) {
    double delayMillis = millisToNext * (1 + JITTER_RATIO * context.random().nextDouble());
    return Math.max(
        MIN_RETRY_DELAY_MILLIS, Math.min(MAX_RETRY_DELAY_MILLIS, Math.round(delayMillis)));
  }

  private void removeIdleBuckets() {
    if (context.now() - lastCleanupAt > BUCKET_IDLE_TIMEOUT_MILLIS) {
      lastCleanupAt = context.now();
      buckets
          .values()
          .removeIf(bucket -> context.now() - bucket.usedAt > BUCKET_IDLE_TIMEOUT_MILLIS);
    }
  }
}
