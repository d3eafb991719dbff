package org.gatereel.core.limit;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.function.Consumer;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.statement.AnnouncedLimit;
import org.gatereel.core.statement.LimitFact;

/**
 * Acquires the rate limit tokens for this host's requests to targets that have announced a limit.
 *
 * <p>Each request needs one token. Requests to one target that wait at the same time share a token
 * request. A target without tokens is skipped until its issuer expects the next one.
 */
public final class LimitTokenClient {
  /**
   * How long a target is skipped if no issuer responded. Most issuers are in the data centre of the
   * target, so that it is probably unreachable too.
   */
  private static final long NO_ISSUER_RETRY_DELAY_MILLIS = 1_000;

  /**
   * Includes the first issuer outside the data centre of the target; bounds the wait of the
   * request.
   */
  private static final int MAX_ISSUERS_TRIED = IssuerDirectory.LOCAL_HOSTS_FIRST + 1;

  /** How long a token that was released unused is kept for the next request. */
  private static final long UNUSED_TOKEN_EXPIRY_MILLIS = 500;

  private static final long MIN_LOG_INTERVAL_MILLIS = 1_000;

  private final CoreContext context;
  private final AnnouncedLimits limits;
  private final IssuerRanking ranking;
  private final TokenPort port;
  private final LimitTokenIssuer localIssuer;
  private final Map<TargetId, TargetTokens> tokensByTarget = new HashMap<>();
  private long granted;
  private long denied;

  private enum Urgency {
    /** Requests that resume a stream whose caller has received a part of the response. */
    URGENT,
    /** All other requests. */
    USUAL
  }

  /** The unused tokens of one target and the requests that wait for tokens. */
  private final class TargetTokens {
    private final TargetId target;
    private final Map<Urgency, TokenWaiters> waiters = new EnumMap<>(Urgency.class);
    private final Map<Urgency, Long> exhaustedUntil = new EnumMap<>(Urgency.class);
    private final Queue<Long> unusedTokenExpiries = new ArrayDeque<>();
    private DataCentre dataCentre;
    private long deniedSinceLog;
    private long loggedAt = Long.MIN_VALUE / 2;

    private TargetTokens(TargetId target) {
      this.target = target;
      for (Urgency each : Urgency.values()) {
        waiters.put(each, new TokenWaiters());
      }
    }

    private boolean takeUnused() {
      while (!unusedTokenExpiries.isEmpty() && unusedTokenExpiries.peek() < context.now()) {
        unusedTokenExpiries.remove();
      }
      return unusedTokenExpiries.poll() != null;
    }

    private void acquire(Urgency urgency, Consumer<Boolean> callback) {
      if (takeUnused()) {
        callback.accept(true);
        return;
      }
      waiters.get(urgency).add(callback);
      requestTokens(urgency);
    }

    private void requestTokens(Urgency urgency) {
      int count = waiters.get(urgency).startBatch();
      if (count == 0) {
        return;
      }
      Optional<AnnouncedLimit> limit = limits.find(target);
      if (limit.isEmpty()) {
        onGrant(urgency, count, new TokenGrant(count, 0));
        return;
      }
      TokenRequest.LimitTokens request =
          new TokenRequest.LimitTokens(
              new LimitFact(target, limit.get()), dataCentre, urgency == Urgency.URGENT, false);
      requestTokens(request, count, 1, grant -> onGrant(urgency, count, grant));
    }

    private void requestTokens(
        TokenRequest.LimitTokens request,
        int count,
        int issuerNumber,
        Consumer<TokenGrant> callback) {
      Optional<Address> host = ranking.issuerFor(target, dataCentre);
      if (host.isEmpty()) {
        localIssuer.issue(request, count, grant -> callback.accept(grant.orElse(TokenGrant.NONE)));
        return;
      }
      port.requestTokens(
          host.get(),
          request,
          count,
          grant -> {
            if (grant.isPresent()) {
              callback.accept(grant.get());
              return;
            }
            ranking.markUnresponsive(host.get(), target);
            if (issuerNumber < MAX_ISSUERS_TRIED) {
              requestTokens(request, count, issuerNumber + 1, callback);
            } else {
              callback.accept(TokenGrant.NONE);
            }
          });
    }

    private void onGrant(Urgency urgency, int count, TokenGrant grant) {
      int grantedCount = Math.min(count, grant.granted());
      if (grantedCount < count) {
        long retryAfterMillis =
            grant.retryAfterMillis() > 0 ? grant.retryAfterMillis() : NO_ISSUER_RETRY_DELAY_MILLIS;
        exhaustedUntil.put(urgency, context.now() + retryAfterMillis);
        logDenied(count - grantedCount, retryAfterMillis);
      }
      granted += grantedCount;
      denied += count - grantedCount;
      waiters.get(urgency).completeBatch(count, grantedCount);
      requestTokens(urgency);
    }

    private void logDenied(int count, long retryAfterMillis) {
      deniedSinceLog += count;
      if (context.now() - loggedAt < MIN_LOG_INTERVAL_MILLIS) {
        return;
      }
      context.logEvent(
          EventCode.LIMIT_REACHED,
          target.toString(),
          "perSecond="
              + limits.perSecond(target)
              + " passedOver="
              + deniedSinceLog
              + " againMillis="
              + retryAfterMillis);
      loggedAt = context.now();
      deniedSinceLog = 0;
    }

    private boolean isExhausted(Urgency urgency) {
      return exhaustedUntil.getOrDefault(urgency, Long.MIN_VALUE) > context.now();
    }
  }

  LimitTokenClient(
      CoreContext context,
      AnnouncedLimits limits,
      IssuerRanking ranking,
      TokenPort port,
      LimitTokenIssuer localIssuer) {
    this.context = context;
    this.limits = limits;
    this.ranking = ranking;
    this.port = port;
    this.localIssuer = localIssuer;
  }

  /**
   * Acquires a token for one request.
   *
   * @param urgent whether the request resumes a stream that its caller has received a part of
   * @param callback called once, immediately or later, with whether the request may be sent
   */
  void acquire(TargetId target, DataCentre dataCentre, boolean urgent, Consumer<Boolean> callback) {
    if (limits.find(target).isEmpty()) {
      callback.accept(true);
      return;
    }
    TargetTokens tokens = tokensByTarget.computeIfAbsent(target, TargetTokens::new);
    tokens.dataCentre = dataCentre;
    tokens.acquire(urgent ? Urgency.URGENT : Urgency.USUAL, callback);
  }

  /** Returns an unused token, which the next request of this host uses. */
  void release(TargetId target) {
    TargetTokens tokens = tokensByTarget.get(target);
    if (tokens != null) {
      tokens.unusedTokenExpiries.add(context.now() + UNUSED_TOKEN_EXPIRY_MILLIS);
    }
  }

  /** Returns the targets for which no token is available now. */
  Set<TargetId> exhausted(boolean urgent) {
    if (tokensByTarget.isEmpty()) {
      return Set.of();
    }
    tokensByTarget.keySet().removeIf(target -> limits.find(target).isEmpty() && isIdle(target));
    Set<TargetId> exhausted = new HashSet<>();
    tokensByTarget.forEach(
        (target, tokens) -> {
          if (tokens.isExhausted(urgent ? Urgency.URGENT : Urgency.USUAL)
              && limits.find(target).isPresent()) {
            exhausted.add(target);
          }
        });
    return exhausted;
  }

  private boolean isIdle(TargetId target) {
    TargetTokens tokens = tokensByTarget.get(target);
    return tokens.waiters.values().stream().allMatch(TokenWaiters::isEmpty);
  }

  long granted() {
    return granted;
  }

  long denied() {
    return denied;
  }
}
