package org.gatereel.core.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
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
  private final Predicate<TargetId> isResting;
  private final Map<ServiceName, Survey> surveys = new HashMap<>();

  /**
   * What came of a search.
   *
   * @param target the engine that keeps the prompt, if one was found
   * @param answered how many engines had answered by then
   * @param asked how many were asked
   */
  record Located(Optional<TargetId> target, int answered, int asked) {}

  /** One round of questions to the engines of a service. */
  private final class Survey {
    private final long begunAt = context.now();
    private final Map<String, TargetId> found = new HashMap<>();
    private final Map<String, List<Consumer<Located>>> waiting = new HashMap<>();
    private int asked;
    private int silent;
    private int open;

    private void ask(List<TargetState> engines) {
      asked = engines.size();
      open = asked;
      for (TargetState target : engines) {
        port.listPrompts(
            target.description(),
            TIMEOUT_MILLIS,
            said -> {},
            kept -> answered(target.description().id(), kept));
      }
    }

    private void answered(TargetId target, Optional<Set<String>> kept) {
      open--;
      if (kept.isEmpty()) {
        silent++;
      }
      kept.orElse(Set.of()).forEach(part -> found(part, target));
      if (open == 0) {
        List<String> missing = List.copyOf(waiting.keySet());
        missing.forEach(this::tell);
      }
    }

    private void found(String part, TargetId target) {
      found.putIfAbsent(part, target);
      tell(part);
    }

    private void tell(String part) {
      List<Consumer<Located>> askers = waiting.remove(part);
      if (askers != null) {
        askers.forEach(asker -> asker.accept(located(part)));
      }
    }

    private Located located(String part) {
      return new Located(Optional.ofNullable(found.get(part)), asked - open - silent, asked);
    }

    private void find(String part, Consumer<Located> answer) {
      if (open == 0 || found.containsKey(part)) {
        answer.accept(located(part));
      } else {
        waiting.computeIfAbsent(part, any -> new ArrayList<>()).add(answer);
      }
    }
  }

  /**
   * Makes a locator.
   *
   * @param isResting tells whether a target wants nothing from this host for now
   */
  PromptLocator(
      CoreContext context, TargetRegistry targets, TargetPort port, Predicate<TargetId> isResting) {
    this.context = context;
    this.targets = targets;
    this.port = port;
    this.isResting = isResting;
  }

  /** Finds an engine that keeps a part of a prompt; {@code answer} is told, at once or later. */
  void locate(ServiceName service, String part, Consumer<Located> answer) {
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
        targets.notLeaving(service).stream()
            .filter(target -> !target.isFailing(context.now()))
            .filter(target -> !isResting.test(target.description().id()))
            .toList();
    return Rendezvous.rank(part, sound, target -> target.description().id().value()).stream()
        .limit(MOST_ASKED)
        .toList();
  }
}
