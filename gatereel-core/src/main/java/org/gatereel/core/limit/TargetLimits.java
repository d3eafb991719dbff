package org.gatereel.core.limit;

import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.statement.TargetFacts;

/** Keeps to the limits that targets name, together with all other hosts. */
public final class TargetLimits {
  private final AnnouncedLimits announced;
  private final LimitTokenIssuer lender;
  private final LimitTokenClient tokens;

  /**
   * Makes it; no limit is known yet.
   *
   * @param facts what targets have said
   * @param directory the hosts that share limits
   * @param port the way to those that lend
   */
  public TargetLimits(
      CoreContext context, TargetFacts facts, IssuerDirectory directory, TokenPort port) {
    IssuerRanking ranking = new IssuerRanking(context, directory);
    this.announced = new AnnouncedLimits(context, facts);
    this.lender = new LimitTokenIssuer(context, announced, ranking, port);
    this.tokens = new LimitTokenClient(context, announced, ranking, port, lender);
  }

  /** Returns what targets have said. */
  public AnnouncedLimits announced() {
    return announced;
  }

  /**
   * Takes a token for one request to a target.
   *
   * @param dataCentre where the target is
   * @param urgent whether it goes on with a stream that its caller has part of
   * @param answer is told once, at once or later, whether the request may be sent
   */
  public void acquire(
      TargetId target, DataCentre dataCentre, boolean urgent, Consumer<Boolean> answer) {
    tokens.acquire(target, dataCentre, urgent, answer);
  }

  /** Takes a token back that a request has not used. */
  public void release(TargetId target) {
    tokens.release(target);
  }

  /** Returns the targets for which no token is to be had just now. */
  public Set<TargetId> exhausted(boolean urgent) {
    return tokens.exhausted(urgent);
  }

  /** Lends another host requests to a target; empty if another host is to lend them. */
  public void issue(
      TokenRequest.LimitTokens asked, int count, Consumer<Optional<TokenGrant>> answer) {
    lender.issue(asked, count, answer);
  }

  /** Returns how many tokens this host's requests had. */
  public long granted() {
    return tokens.granted();
  }

  /** Returns how often there was none for a request, which then looked elsewhere or waited. */
  public long denied() {
    return tokens.denied();
  }
}
