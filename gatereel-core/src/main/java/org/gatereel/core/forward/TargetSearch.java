package org.gatereel.core.forward;

import com.google.common.collect.Sets;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.gatereel.core.choice.TargetChoice;
import org.gatereel.core.choice.TargetQuery;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.rollout.RolloutControl;
import org.gatereel.core.rollout.VersionRule;
import org.gatereel.core.target.TargetState;

/** The search of one request for targets: what it needs of one, and where it has been. */
final class TargetSearch {
  private final Forwarder forwarder;
  private final ForwardRequest request;
  private final Route route;
  private final ServiceName service;
  private final boolean copiesRuns;
  private final CopyPlan copies;
  private final Set<TargetId> tried = new HashSet<>();
  private TargetQuery query;
  private boolean passesOverLimited;
  private boolean triesOut;

  /** Makes a search among the targets of a service that has the route's requests. */
  TargetSearch(
      Forwarder forwarder,
      ForwardRequest request,
      Route route,
      ServiceName service,
      Optional<ServicePlan.EnginePlan> engine) {
    this.forwarder = forwarder;
    this.request = request;
    this.route = route;
    this.service = service;
    this.copies = new CopyPlan(forwarder, request, service);
    this.copiesRuns =
        route.kind() == RouteKind.STREAM
            && engine.map(ServicePlan.EnginePlan::copiesRuns).orElse(false);
    int fitting =
        engine.map(plan -> plan.fitting(request.promptTokens())).orElse(Integer.MAX_VALUE);
    this.query = new TargetQuery(service, Optional.empty(), fitting);
  }

  /** Returns the service whose targets are searched. */
  ServiceName service() {
    return service;
  }

  /** Returns what becomes of the copies of this request's runs. */
  CopyPlan copies() {
    return copies;
  }

  /** Returns whether a caller has come back for the rest of a stream whose prompt may be kept. */
  boolean mayFindPrompt() {
    return copiesRuns && request.lastEventId().isPresent() && request.promptPart().isPresent();
  }

  /** Returns whether a target is known to keep the prompt, so that it need not read it. */
  boolean hasPrompt(TargetState target) {
    return query.readAt().equals(Optional.of(target.description().id()));
  }

  /** Looks for the engine that keeps the prompt, which is then preferred. */
  void findPrompt(Consumer<PromptLocator.Located> answer) {
    forwarder
        .prompts()
        .locate(
            service,
            request.promptPart().orElseThrow(),
            found -> {
              found.target().ifPresent(target -> query = query.readAt(target));
              answer.accept(found);
            });
  }

  /**
   * Chooses a target that was not tried.
   *
   * @param again whether one that was tried will do if there is no other
   * @param urgent whether the caller has part of the answer
   */
  Optional<TargetChoice> choose(boolean again, boolean urgent) {
    Set<TargetId> spent = spent(urgent);
    RolloutControl rollouts = forwarder.rollouts();
    VersionRule rule = rollouts.rule(service);
    if (isNew()) {
      VersionRule drawn = rollouts.ruleForNewRequest(service, route.name());
      Optional<TargetChoice> chosen = choose(query.among(drawn), spent, false);
      if (chosen.isPresent()) {
        return chosen;
      }
    }
    query = query.among(rule);
    return choose(query, spent, again);
  }

  /** Has targets with limits passed over from now on: this request has waited enough for them. */
  void passOverLimited() {
    passesOverLimited = true;
  }

  /** A new try looks among all targets again. */
  void endPassingOver() {
    passesOverLimited = false;
  }

  /** Returns the targets that would do and are sent nothing just now. */
  private Set<TargetId> spent(boolean urgent) {
    Set<TargetId> spent = withoutTokens(urgent);
    Set<TargetId> resting = forwarder.rests().barred();
    return resting.isEmpty() ? spent : Sets.union(spent, resting);
  }

  private Set<TargetId> withoutTokens(boolean urgent) {
    return passesOverLimited
        ? forwarder.limits().book().limited()
        : forwarder.limits().spent(urgent);
  }

  /** Returns whether targets would do that have no token for now. */
  boolean isAnySpent(boolean urgent) {
    Set<TargetId> spent = withoutTokens(urgent);
    return !spent.isEmpty()
        && query.versions().among(forwarder.targets().listed(service)).stream()
            .anyMatch(target -> spent.contains(target.description().id()));
  }

  /**
   * Returns in how many milliseconds the first of the targets that would do, and rest, takes
   * requests again; empty if none of them rests.
   *
   * @param again whether one that was tried will do
   */
  OptionalLong millisToEndOfRest(boolean again) {
    return query.versions().among(forwarder.targets().listed(service)).stream()
        .filter(target -> again || !tried.contains(target.description().id()))
        .mapToLong(target -> forwarder.rests().millisTo(target.description().id()))
        .filter(millis -> millis > 0)
        .min();
  }

  /**
   * Returns whether a target that was chosen a moment ago may still be sent this request: it may
   * have begun to leave, or to rest, and its version may have been rolled back.
   */
  boolean mayHave(TargetState target) {
    return forwarder.rests().millisTo(target.description().id()) == 0 && mayHave(target, isNew());
  }

  /** Returns whether the target of the present try may be sent it now that it is connected. */
  boolean mayStillHave(TargetState target) {
    return !forwarder.rests().isResting(target.description().id()) && mayHave(target, triesOut);
  }

  private boolean mayHave(TargetState target, boolean fresh) {
    return !target.isLeaving() && forwarder.rollouts().maySend(service, target, fresh);
  }

  /** Only a request that ran nowhere yet may try out a new version; a repeat must not fail. */
  private boolean isNew() {
    return tried.isEmpty() && request.lastEventId().isEmpty();
  }

  private Optional<TargetChoice> choose(TargetQuery wanted, Set<TargetId> spent, boolean again) {
    Set<TargetId> without = spent.isEmpty() ? tried : Sets.union(tried, spent);
    Optional<TargetChoice> fresh = forwarder.selector().choose(wanted, without);
    return fresh.isEmpty() && again ? forwarder.selector().choose(wanted, spent) : fresh;
  }

  /** Notes that a target is tried; returns where it is to copy the run, if anywhere. */
  Optional<Address> begin(TargetState target) {
    triesOut = isNew();
    tried.add(target.description().id());
    forwarder.rests().sent(target.description().id());
    return copiesRuns
        ? copies.begin(target, query.among(forwarder.rollouts().rule(service)))
        : Optional.empty();
  }

  /** Notes what a target's whole answer says of it. */
  void answered(Attempt from, Answer answer) {
    if (answer.isError()) {
      forwarder.targets().answeredWithError(from.target());
    } else {
      forwarder.targets().answered(from.target());
    }
  }

  /** Notes what an attempt's failure says of its target. */
  void failed(Attempt from, TargetFailure failure) {
    if (from.isContinuation() && failure == TargetFailure.FULL) {
      // The copy is not there; that says nothing of the target's load.
      tried.remove(from.target().description().id());
    } else if (failure == TargetFailure.WITHDRAWN) {
      forwarder.limits().giveBack(from.target().description().id());
    } else {
      forwarder.targets().failed(from.target(), failure);
    }
  }
}
