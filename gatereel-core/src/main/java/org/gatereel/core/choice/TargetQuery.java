package org.gatereel.core.choice;

import java.util.Optional;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetId;

/**
 * What a target is wanted for.
 *
 * @param readAt the engine that has read this request's prompt, if one is known
 * @param fitting how many requests as large as this one an engine's memory holds
 */
public record TargetQuery(ServiceName service, Optional<TargetId> readAt, int fitting) {
  /** Leaves out who has read the prompt, which is no reason for where a copy goes. */
  TargetQuery withoutReader() {
    return new TargetQuery(service, Optional.empty(), fitting);
  }

  /** Says which engine has read the prompt. */
  public TargetQuery readAt(TargetId target) {
    return new TargetQuery(service, Optional.of(target), fitting);
  }
}
