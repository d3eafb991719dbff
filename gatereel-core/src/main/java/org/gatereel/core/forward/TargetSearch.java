package org.gatereel.core.forward;

import com.google.common.collect.Sets;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.gatereel.core.choice.TargetChoice;
import org.gatereel.core.choice.TargetQuery;
import org.gatereel.core.configuration.Route;
import org.gatereel.core.configuration.RouteKind;
import org.gatereel.core.configuration.ServiceConfiguration;
import org.gatereel.core.estimate.RequestSize;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.rollout.VersionRule;
import org.gatereel.core.room.CountedRoom;
import org.gatereel.core.target.TargetState;

/** Chooses targets for one request: the requirements on a target, and the targets already tried. */
final class TargetSearch {
  private final Forwarder forwarder;
  private final ForwardRequest request;
  private final Route route;
  private final ServiceName service;
  private final boolean copiesMemory;
  private final CopyTracker copies;
  private final Set<TargetId> triedTargets = new HashSet<>();
  private final RequestSize size;
  private TargetQuery query;
  private Supplier<Set<TargetId>> reserved = Set::of;
  private VersionRule drawnRule;
  private VersionRule ruleWhenDrawn;
  private boolean skipsLimitedTargets;
  private long occupiedTokens;
  private Optional<TargetId> openAt = Optional.empty();
  private boolean currentAttemptIsFirst;
  private boolean currentAttemptIsOnlyPrompt;

  /** Creates a search among the targets of {@code service}, which serves the route's request. */
  TargetSearch(
      Forwarder forwarder,
      ForwardRequest request,
      Route route,
      ServiceName service,
      Optional<ServiceConfiguration.EngineConfiguration> engine) {
    this.forwarder = forwarder;
    this.request = request;
    this.route = route;
    this.service = service;
    this.copies = new CopyTracker(forwarder, request, service);
    this.copiesMemory =
        route.kind() == RouteKind.STREAM
            && engine.map(ServiceConfiguration.EngineConfiguration::copiesMemory).orElse(false);
    int fittingRequests =
        engine
            .map(configuration -> configuration.fittingRequests(request.promptTokens()))
            .orElse(Integer.MAX_VALUE);
    CountedRoom room = forwarder.room();
    this.size = room.expectedSize(route.name(), request.promptTokens(), request.outputEstimate());
    TargetQuery anyRoom = new TargetQuery(service, Optional.empty(), fittingRequests);
    this.query =
        room.isLimited(service) ? anyRoom.withRoom(target -> room.fits(target, size)) : anyRoom;
  }

  /** Sets the source of targets that are kept free for other requests. */
  void setReservedTargets(Supplier<Set<TargetId>> source) {
    reserved = source;
  }

  ServiceName service() {
    return service;
  }

  CopyTracker copies() {
    return copies;
  }

  /** Returns the expected size of the request. */
  RequestSize size() {
    return size;
  }

  /**
   * Draws whether the request may take room at a target.
   *
   * @param millisSinceDraw the time since this was last drawn for the request
   */
  boolean mayTakeRoom(TargetState target, long millisSinceDraw) {
    return forwarder.room().mayTake(target, size, millisSinceDraw);
  }

  /** Returns whether a target is known to have room for the request. */
  boolean hasRoom(TargetState target) {
    return forwarder.room().hasRoom(target, size);
  }

  /** Returns whether the request resumes a stream whose prompt an engine may have cached. */
  boolean canLocatePrompt() {
    return copiesMemory && request.lastEventId().isPresent() && request.promptPart().isPresent();
  }

  /**
   * Returns whether the target is known to have the prompt cached, so that no prefill is needed.
   */
  boolean hasPromptCached(TargetState target) {
    return query.promptCachedAt().equals(Optional.of(target.description().id()));
  }

  /** Finds the engine that has the prompt cached and prefers it in later choices. */
  void locatePrompt(Consumer<PromptLocator.LookupResult> callback) {
    forwarder
        .prompts()
        .locate(
            service,
            request.promptPart().orElseThrow(),
            found -> {
              found.target().ifPresent(target -> query = query.promptCachedAt(target));
              callback.accept(found);
            });
  }

  /**
   * Chooses a target that was not tried yet.
   *
   * @param allowTried whether a target that was tried may be chosen if there is no other
   * @param urgent whether the caller already has part of the stream
   */
  Optional<TargetChoice> choose(boolean allowTried, boolean urgent) {
    Set<TargetId> unavailable = unavailableTargets(urgent);
    Set<TargetId> reservedTargets = reserved.get();
    if (!reservedTargets.isEmpty()) {
      Optional<TargetChoice> chosen =
          chooseAvailable(allowTried, Sets.union(unavailable, reservedTargets));
      if (chosen.isPresent()) {
        return chosen;
      }
    }
    return chooseAvailable(allowTried, unavailable);
  }

  private Optional<TargetChoice> chooseAvailable(boolean allowTried, Set<TargetId> unavailable) {
    VersionRule rule = forwarder.rollouts().rule(service);
    if (isFirstAttempt()) {
      Optional<TargetChoice> chosen =
          choose(query.withVersions(ruleForNewRequest(rule)), unavailable, false);
      if (chosen.isPresent()) {
        return chosen;
      }
    }
    query = query.withVersions(rule);
    return choose(query, unavailable, allowTried);
  }

  /** Draws the rule of a new request once, since each draw counts towards the canary's ratio. */
  private VersionRule ruleForNewRequest(VersionRule rule) {
    if (!forwarder.rollouts().isRunning(service)) {
      drawnRule = null;
      return rule;
    }
    if (drawnRule == null || !rule.equals(ruleWhenDrawn)) {
      drawnRule = forwarder.rollouts().ruleForNewRequest(service, route.name());
      ruleWhenDrawn = rule;
    }
    return drawnRule;
  }

  /** Excludes targets with limits, because this request has waited long enough for tokens. */
  void skipLimitedTargets() {
    skipsLimitedTargets = true;
  }

  /** Includes all targets again, for a new attempt. */
  void includeLimitedTargets() {
    skipsLimitedTargets = false;
  }

  /** Returns the targets without tokens, those backing off, and the one of the open attempt. */
  private Set<TargetId> unavailableTargets(boolean urgent) {
    Set<TargetId> unavailable = targetsWithoutTokens(urgent);
    Set<TargetId> backingOff = forwarder.backoffs().blockedTargets();
    Set<TargetId> blocked =
        backingOff.isEmpty() ? unavailable : Sets.union(unavailable, backingOff);
    return openAt.isEmpty() ? blocked : Sets.union(blocked, Set.of(openAt.get()));
  }

  private Set<TargetId> targetsWithoutTokens(boolean urgent) {
    return skipsLimitedTargets
        ? forwarder.limits().announced().limitedTargets()
        : forwarder.limits().exhausted(urgent);
  }

  /** Returns whether a suitable target exists that has no token now. */
  boolean hasTargetWithoutToken(boolean urgent) {
    Set<TargetId> unavailable = targetsWithoutTokens(urgent);
    return !unavailable.isEmpty()
        && query.versions().among(forwarder.targets().notLeaving(service)).stream()
            .anyMatch(target -> unavailable.contains(target.description().id()));
  }

  /**
   * Returns the time in milliseconds until the first suitable target ends its backoff; empty if
   * none is backing off.
   *
   * @param allowTried whether targets that were tried count
   */
  OptionalLong millisToFirstBackoffEnd(boolean allowTried) {
    return query.versions().among(forwarder.targets().notLeaving(service)).stream()
        .filter(target -> allowTried || !triedTargets.contains(target.description().id()))
        .mapToLong(target -> forwarder.backoffs().millisUntilAllowed(target.description().id()))
        .filter(millis -> millis > 0)
        .min();
  }

  /**
   * Returns whether a target chosen earlier may still be sent this request: it may have started to
   * drain or to back off, or its version may have been rolled back.
   */
  boolean mayReceive(TargetState target) {
    return forwarder.backoffs().millisUntilAllowed(target.description().id()) == 0
        && mayReceive(target, isFirstAttempt());
  }

  /**
   * Returns whether the target of the current attempt, now connected, may still be sent the
   * request.
   */
  boolean mayStillReceive(TargetState target) {
    return !forwarder.backoffs().isBackingOff(target.description().id())
        && mayReceive(target, currentAttemptIsFirst);
  }

  private boolean mayReceive(TargetState target, boolean isFirstAttempt) {
    return !target.isLeaving() && forwarder.rollouts().maySend(service, target, isFirstAttempt);
  }

  /**
   * Only first attempts may go to a canary version, since a retry must not fail for a new version's
   * fault.
   */
  private boolean isFirstAttempt() {
    return triedTargets.isEmpty() && request.lastEventId().isEmpty();
  }

  private Optional<TargetChoice> choose(
      TargetQuery wantedQuery, Set<TargetId> unavailable, boolean allowTried) {
    Set<TargetId> excluded =
        unavailable.isEmpty() ? triedTargets : Sets.union(triedTargets, unavailable);
    Optional<TargetChoice> untried = forwarder.selector().choose(wantedQuery, excluded);
    return untried.isEmpty() && allowTried
        ? forwarder.selector().choose(wantedQuery, unavailable)
        : untried;
  }

  /**
   * Records that a target is tried; returns the address of the engine that is to hold a copy of the
   * memory, if any.
   */
  Optional<Address> beginAttempt(TargetState target) {
    currentAttemptIsOnlyPrompt = forwarder.room().hasNoPrompts(target);
    currentAttemptIsFirst = isFirstAttempt();
    triedTargets.add(target.description().id());
    openAt = Optional.of(target.description().id());
    forwarder.backoffs().recordSent(target.description().id());
    occupiedTokens = forwarder.room().recordOpened(target, size);
    return copiesMemory
        ? copies.chooseHolder(target, query.withVersions(forwarder.rollouts().rule(service)))
        : Optional.empty();
  }

  /** Records the first event of the current attempt. */
  void recordFirstEvent(Attempt from) {
    if (currentAttemptIsOnlyPrompt) {
      forwarder.room().recordPromptMillis(service, forwarder.context().now() - from.startedAt());
    }
  }

  /** Records that an attempt has ended, in whatever way. */
  void endAttempt(Attempt ending) {
    openAt = Optional.empty();
    copies.release();
    forwarder.room().recordClosed(ending.target(), occupiedTokens);
  }

  /** Updates the target's health from a complete response. */
  void recordResponse(Attempt from, TargetResponse response) {
    boolean isWholeOutput =
        from.isEventStream() && triedTargets.size() == 1 && request.lastEventId().isEmpty();
    if (isWholeOutput && forwarder.room().isLimited(service)) {
      forwarder
          .room()
          .recordOutput(route.name(), from.forwardedEventCount(), request.outputEstimate());
    }
    if (response.isError()) {
      forwarder.targets().recordErrorResponse(from.target());
    } else {
      forwarder.targets().recordResponse(from.target());
    }
  }

  /** Updates the target's health from a failed attempt. */
  void recordFailure(Attempt from, TargetFailure failure) {
    if (from.isContinuation() && failure == TargetFailure.FULL) {
      // The copy is missing, which does not mean that the target is overloaded.
      triedTargets.remove(from.target().description().id());
    } else if (failure == TargetFailure.WITHDRAWN) {
      forwarder.limits().release(from.target().description().id());
    } else {
      if (failure.isFault()) {
        forwarder.room().recordFault(from.target());
      }
      forwarder.targets().recordFailure(from.target(), failure);
    }
  }
}
