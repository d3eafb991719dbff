package org.gatereel.core.forward;

import java.util.List;
import java.util.Optional;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.internal.Rendezvous;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.target.TargetState;

/**
 * Prefers the engines that have probably read a prompt already.
 *
 * <p>Hosts do not tell each other which engine read what. Each ranks the engines of its own data
 * centre by a hash of the prompt's largest part, so that all hosts there prefer the same two. A
 * caller whose host has ended resumes at another host of its data centre, and the run goes on at
 * the engine that still holds the prompt.
 */
final class PromptAffinity {
  /**
   * In units of this host's open requests, and less than one of them: two requests at one engine
   * slow each other down, which costs every stream more than resumed ones gain.
   */
  private static final double FIRST_BONUS = 0.7;

  private static final double SECOND_BONUS = 0.4;
  private static final PromptAffinity NONE = new PromptAffinity(List.of());

  private final List<TargetState> ranked;

  private PromptAffinity(List<TargetState> ranked) {
    this.ranked = ranked;
  }

  /** Ranks the sound engines of this host's data centre for a prompt. */
  static PromptAffinity of(
      Optional<String> promptPart, List<TargetState> listed, CoreContext context) {
    if (promptPart.isEmpty()) {
      return NONE;
    }
    DataCentre here = context.dataCentre();
    List<TargetState> near =
        listed.stream()
            .filter(target -> target.description().dataCentre().equals(here))
            .filter(target -> !target.isFailing(context.now()))
            .toList();
    return new PromptAffinity(
        Rendezvous.rank(promptPart.get(), near, target -> target.description().id().value()));
  }

  /** Returns by how much a target is to be preferred, in units of open requests. */
  double bonus(TargetState target) {
    if (!ranked.isEmpty() && ranked.get(0) == target) {
      return FIRST_BONUS;
    }
    return ranked.size() > 1 && ranked.get(1) == target ? SECOND_BONUS : 0;
  }
}
