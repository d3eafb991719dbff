package org.gatereel.core.choice;

import java.util.Optional;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.rollout.VersionRule;

/**
 * What a target is wanted for.
 *
 * @param promptCachedAt the engine that has read this request's prompt, if one is known
 * @param fittingRequests how many requests as large as this one an engine's memory holds
 * @param versions which versions of targets it may go to
 */
public record TargetQuery(
    ServiceName service, Optional<TargetId> promptCachedAt, int fittingRequests, VersionRule versions) {
  /** Makes a query to which any version will do. */
  public TargetQuery(ServiceName service, Optional<TargetId> readAt, int fitting) {
    this(service, readAt, fitting, VersionRule.ANY);
  }

  /** Leaves out who has read the prompt, which is no reason for where a copy goes. */
  TargetQuery withoutPromptCache() {
    return new TargetQuery(service, Optional.empty(), fittingRequests, versions);
  }

  /** Says which engine has read the prompt. */
  public TargetQuery promptCachedAt(TargetId target) {
    return new TargetQuery(service, Optional.of(target), fittingRequests, versions);
  }

  /** Says which versions will do. */
  public TargetQuery withVersions(VersionRule rule) {
    return new TargetQuery(service, promptCachedAt, fittingRequests, rule);
  }
}
