package org.gatereel.core.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.internal.Rendezvous;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.target.TargetRegistry;
import org.gatereel.core.target.TargetState;

/**
 * Finds the engine that keeps a prompt, for callers whose host has ended.
 *
 * <p>The host to which such a caller returns knows nothing of the run. Reading a prompt anew takes
 * a second and holds up all that runs beside it, so the engines are asked what they keep. Requests
 * that return together share the answers.
 */
final class PromptLocator {
  /** Engines answer within some milliseconds; one that does not is no use now. */
  private static final long TIMEOUT_MILLIS = 120;

  /** What an engine keeps changes with each prompt, about once a second. */
  private static final long VALID_MILLIS = 800;

  /** Bounds what one question costs where engines are many. */
  private static final int MOST_ASKED = 24;

  private final CoreContext context;
  private final TargetRegistry targets;
  private final TargetPort port;
  private final Map<ServiceName, Survey> surveys = new HashMap<>();

  /** One round of questions to the engines of a service. */
  private final class Survey {
    private final long begunAt = context.now();
    private final Map<String, TargetId> found = new HashMap<>();
    private final Map<String, List<Consumer<Optional<TargetId>>>> waiting = new HashMap<>();
    private int open;

    private void ask(List<TargetState> asked) {
      open = asked.size();
      for (TargetState target : asked) {
        port.listPrompts(
            target.description(),
            TIMEOUT_MILLIS,
            kept -> answered(target.description().id(), kept));
      }
    }

    private void answered(TargetId target, Optional<Set<String>> kept) {
      open--;
      kept.orElse(Set.of()).forEach(part -> found(part, target));
      if (open == 0) {
        List<List<Consumer<Optional<TargetId>>>> unanswered = List.copyOf(waiting.values());
        waiting.clear();
        unanswered.forEach(each -> tell(each, Optional.empty()));
      }
    }

    private void found(String part, TargetId target) {
      found.putIfAbsent(part, target);
      tell(waiting.getOrDefault(part, List.of()), Optional.of(target));
      waiting.remove(part);
    }

    private static void tell(List<Consumer<Optional<TargetId>>> askers, Optional<TargetId> target) {
      askers.forEach(asker -> asker.accept(target));
    }

    private void find(String part, Consumer<Optional<TargetId>> answer) {
      if (open == 0 || found.containsKey(part)) {
        answer.accept(Optional.ofNullable(found.get(part)));
      } else {
        waiting.computeIfAbsent(part, any -> new ArrayList<>()).add(answer);
      }
    }
  }

  PromptLocator(CoreContext context, TargetRegistry targets, TargetPort port) {
    this.context = context;
    this.targets = targets;
    this.port = port;
  }

  /** Finds an engine that keeps a part of a prompt; {@code answer} is told, at once or later. */
  void locate(ServiceName service, String part, Consumer<Optional<TargetId>> answer) {
    Survey survey = surveys.get(service);
    if (survey == null || context.now() - survey.begunAt > VALID_MILLIS) {
      survey = new Survey();
      surveys.put(service, survey);
      survey.ask(engines(service, part));
    }
    survey.find(part, answer);
  }

  private List<TargetState> engines(ServiceName service, String part) {
    List<TargetState> sound =
        targets.listed(service).stream()
            .filter(target -> !target.isFailing(context.now()))
            .toList();
    return Rendezvous.rank(part, sound, target -> target.description().id().value()).stream()
        .limit(MOST_ASKED)
        .toList();
  }
}
