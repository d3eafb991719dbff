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
  private static final long QUERY_TIMEOUT_MILLIS = 120;

  /** What an engine keeps changes with each prompt, about once a second. */
  private static final long SURVEY_VALIDITY_MILLIS = 800;

  /** Bounds what one question costs where engines are many. */
  private static final int MAX_QUERIED_ENGINES = 24;

  private final CoreContext context;
  private final TargetRegistry targets;
  private final TargetPort port;
  private final Predicate<TargetId> isResting;
  private final Map<ServiceName, Survey> surveys = new HashMap<>();

  /**
   * What came of a search.
   *
   * @param target the engine that keeps the prompt, if one was found
   * @param responses how many engines had answered by then
   * @param queries how many were asked
   */
  record LookupResult(Optional<TargetId> target, int responses, int queries) {}

  /** One round of questions to the engines of a service. */
  private final class Survey {
    private final long startedAt = context.now();
    private final Map<String, TargetId> found = new HashMap<>();
    private final Map<String, List<Consumer<LookupResult>>> waiters = new HashMap<>();
    private int queries;
    private int failed;
    private int pending;

    private void query(List<TargetState> engines) {
      queries = engines.size();
      pending = queries;
      for (TargetState target : engines) {
        port.listPrompts(
            target.description(),
            QUERY_TIMEOUT_MILLIS,
            said -> {},
            kept -> onResponse(target.description().id(), kept));
      }
    }

    private void onResponse(TargetId target, Optional<Set<String>> kept) {
      pending--;
      if (kept.isEmpty()) {
        failed++;
      }
      kept.orElse(Set.of()).forEach(part -> found(part, target));
      if (pending == 0) {
        List<String> missing = List.copyOf(waiters.keySet());
        missing.forEach(this::notifyWaiters);
      }
    }

    private void found(String part, TargetId target) {
      found.putIfAbsent(part, target);
      notifyWaiters(part);
    }

    private void notifyWaiters(String part) {
      List<Consumer<LookupResult>> askers = waiters.remove(part);
      if (askers != null) {
        askers.forEach(asker -> asker.accept(result(part)));
      }
    }

    private LookupResult result(String part) {
      return new LookupResult(
          Optional.ofNullable(found.get(part)), queries - pending - failed, queries);
    }

    private void find(String part, Consumer<LookupResult> answer) {
      if (pending == 0 || found.containsKey(part)) {
        answer.accept(result(part));
      } else {
        waiters.computeIfAbsent(part, any -> new ArrayList<>()).add(answer);
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
  void locate(ServiceName service, String part, Consumer<LookupResult> answer) {
    Survey survey = surveys.get(service);
    if (survey == null || context.now() - survey.startedAt > SURVEY_VALIDITY_MILLIS) {
      survey = new Survey();
      surveys.put(service, survey);
      survey.query(engines(service, part));
    }
    survey.find(part, answer);
  }

  private List<TargetState> engines(ServiceName service, String part) {
    List<TargetState> sound =
        targets.listed(service).stream()
            .filter(target -> !target.isFailing(context.now()))
            .filter(target -> !isResting.test(target.description().id()))
            .toList();
    return Rendezvous.rank(part, sound, target -> target.description().id().value()).stream()
        .limit(MAX_QUERIED_ENGINES)
        .toList();
  }
}
