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
 * Finds the engine that has a prompt cached, for callers that resume a stream at another host.
 *
 * <p>That host knows nothing of the earlier execution, and a repeated prefill delays all requests
 * of an engine, so the engines are queried for the prompts in their caches. Requests that arrive
 * close together share one survey.
 */
final class PromptLocator {
  /**
   * Engines respond within some milliseconds; one that responds later than this is too busy to be
   * useful.
   */
  private static final long QUERY_TIMEOUT_MILLIS = 120;

  /** Within this time after the timeout of a query its result is known. */
  private static final long RESULT_MARGIN_MILLIS = 50;

  /** The contents of an engine's cache change with each prompt, about once per second. */
  private static final long SURVEY_VALIDITY_MILLIS = 800;

  /** Bounds the cost of one survey. */
  private static final int MAX_QUERIED_ENGINES = 24;

  private final CoreContext context;
  private final TargetRegistry targets;
  private final TargetPort port;
  private final Predicate<TargetId> isBackingOff;
  private final Map<ServiceName, Survey> surveys = new HashMap<>();

  /**
   * The result of a lookup.
   *
   * @param target the engine that has the prompt cached, if one was found
   * @param responses how many engines had responded by then
   * @param queries how many engines were queried
   */
  record LookupResult(Optional<TargetId> target, int responses, int queries) {}

  /** One query of the engines of a service. */
  private final class Survey {
    private final long startedAt = context.now();
    private final Map<String, TargetId> found = new HashMap<>();
    private final Map<String, List<Consumer<LookupResult>>> waiters = new HashMap<>();
    private int queries;
    private int failed;
    private int pending;
    private boolean expired;

    private void query(List<TargetState> engines) {
      queries = engines.size();
      pending = queries;
      context.schedule(QUERY_TIMEOUT_MILLIS + RESULT_MARGIN_MILLIS, this::expire);
      for (TargetState target : engines) {
        port.listPrompts(
            target.description(),
            QUERY_TIMEOUT_MILLIS,
            announcements -> {},
            cachedParts -> onResponse(target.description().id(), cachedParts));
      }
    }

    private void onResponse(TargetId target, Optional<Set<String>> cachedParts) {
      pending--;
      if (cachedParts.isEmpty()) {
        failed++;
      }
      cachedParts.orElse(Set.of()).forEach(part -> recordFound(part, target));
      if (pending == 0) {
        notifyAllWaiters();
      }
    }

    /** Ends the wait for engines whose responses were lost. */
    private void expire() {
      expired = true;
      notifyAllWaiters();
    }

    private void notifyAllWaiters() {
      List.copyOf(waiters.keySet()).forEach(this::notifyWaiters);
    }

    private void recordFound(String part, TargetId target) {
      found.putIfAbsent(part, target);
      notifyWaiters(part);
    }

    private void notifyWaiters(String part) {
      List<Consumer<LookupResult>> callbacks = waiters.remove(part);
      if (callbacks != null) {
        callbacks.forEach(callback -> callback.accept(result(part)));
      }
    }

    private LookupResult result(String part) {
      return new LookupResult(
          Optional.ofNullable(found.get(part)), queries - pending - failed, queries);
    }

    private void find(String part, Consumer<LookupResult> callback) {
      if (expired || pending == 0 || found.containsKey(part)) {
        callback.accept(result(part));
      } else {
        waiters.computeIfAbsent(part, any -> new ArrayList<>()).add(callback);
      }
    }
  }

  /**
   * Creates a locator.
   *
   * @param isBackingOff whether a target asked this host to send nothing for now
   */
  PromptLocator(
      CoreContext context,
      TargetRegistry targets,
      TargetPort port,
      Predicate<TargetId> isBackingOff) {
    this.context = context;
    this.targets = targets;
    this.port = port;
    this.isBackingOff = isBackingOff;
  }

  /**
   * Finds an engine that has a part of a prompt cached; {@code callback} is called at once or
   * later.
   */
  void locate(ServiceName service, String part, Consumer<LookupResult> callback) {
    Survey survey = surveys.get(service);
    if (survey == null || context.now() - survey.startedAt > SURVEY_VALIDITY_MILLIS) {
      survey = new Survey();
      surveys.put(service, survey);
      survey.query(engines(service, part));
    }
    survey.find(part, callback);
  }

  private List<TargetState> engines(ServiceName service, String part) {
    List<TargetState> healthy =
        targets.notLeaving(service).stream()
            .filter(target -> !target.isFailing(context.now()))
            .filter(target -> !isBackingOff.test(target.description().id()))
            .toList();
    return Rendezvous.rank(part, healthy, target -> target.description().id().value()).stream()
        .limit(MAX_QUERIED_ENGINES)
        .toList();
  }
}
