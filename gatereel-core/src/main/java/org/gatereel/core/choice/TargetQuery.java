package org.gatereel.core.choice;

import java.util.Optional;
import java.util.function.Predicate;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.rollout.VersionRule;
import org.gatereel.core.target.TargetState;

/**
 * The requirements of a request on its target.
 *
 * @param promptCachedAt the engine that has cached the prompt of this request, if known
 * @param fittingRequests how many requests of this size fit into the memory of an engine
 * @param versions the versions of targets that are allowed
 * @param room tests whether a target has room, in place of {@code fittingRequests}
 */
public record TargetQuery(
    ServiceName service,
    Optional<TargetId> promptCachedAt,
    int fittingRequests,
    VersionRule versions,
    Optional<Predicate<TargetState>> room) {
  /** Makes a query that allows any version. */
  public TargetQuery(ServiceName service, Optional<TargetId> readAt, int fitting) {
    this(service, readAt, fitting, VersionRule.ANY, Optional.empty());
  }

  /** Returns a copy without the engine that has cached the prompt. */
  TargetQuery withoutPromptCache() {
    return new TargetQuery(service, Optional.empty(), fittingRequests, versions, room);
  }

  /** Returns a copy with the engine that has cached the prompt. */
  public TargetQuery promptCachedAt(TargetId target) {
    return new TargetQuery(service, Optional.of(target), fittingRequests, versions, room);
  }

  /** Returns a copy with other allowed versions. */
  public TargetQuery withVersions(VersionRule rule) {
    return new TargetQuery(service, promptCachedAt, fittingRequests, rule, room);
  }

  /** Returns a copy that tests targets for room. */
  public TargetQuery withRoom(Predicate<TargetState> hasRoom) {
    return new TargetQuery(
        service, promptCachedAt, fittingRequests, versions, Optional.of(hasRoom));
  }
}
