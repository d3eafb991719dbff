package org.gatereel.core.limit;

import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.statement.TargetFacts;

/** Enforces the limits that targets have announced, in cooperation with all other hosts. */
public final class TargetLimits {
  private final AnnouncedLimits announced;
  private final LimitTokenIssuer issuer;
  private final LimitTokenClient tokens;

  /**
   * Makes limits without any announcement.
   *
   * @param facts what targets have announced
   * @param directory the hosts that share the limits
   * @param port sends token requests to other hosts
   */
  public TargetLimits(
      CoreContext context, TargetFacts facts, IssuerDirectory directory, TokenPort port) {
    IssuerRanking ranking = new IssuerRanking(context, directory);
    this.announced = new AnnouncedLimits(context, facts);
    this.issuer = new LimitTokenIssuer(context, announced, ranking, port);
    this.tokens = new LimitTokenClient(context, announced, ranking, port, issuer);
  }

  public AnnouncedLimits announced() {
    return announced;
  }

  /**
   * Acquires a token for one request to a target.
   *
   * @param dataCentre the data centre of the target
   * @param urgent whether the request resumes a stream that its caller has received a part of
   * @param callback called once, immediately or later, with whether the request may be sent
   */
  public void acquire(
      TargetId target, DataCentre dataCentre, boolean urgent, Consumer<Boolean> callback) {
    tokens.acquire(target, dataCentre, urgent, callback);
  }

  /** Returns a token that a request has not used. */
  public void release(TargetId target) {
    tokens.release(target);
  }

  /** Returns the targets for which no token is available now. */
  public Set<TargetId> exhausted(boolean urgent) {
    return tokens.exhausted(urgent);
  }

  /**
   * Issues tokens to another host.
   *
   * @param callback called once, immediately or later; empty if another host is the issuer
   */
  public void issue(
      TokenRequest.LimitTokens request, int count, Consumer<Optional<TokenGrant>> callback) {
    issuer.issue(request, count, callback);
  }

  /** Returns how many tokens this host's requests were granted. */
  public long granted() {
    return tokens.granted();
  }

  /** Returns how often this host's requests were denied a token. */
  public long denied() {
    return tokens.denied();
  }
}
