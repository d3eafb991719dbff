package org.gatereel.core.target;

import com.google.common.collect.Sets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostList;
import org.gatereel.core.model.LifeState;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.model.TargetKind;
import org.gatereel.core.table.PolicyTable;

/** The targets that this host knows. */
public final class TargetRegistry {
  /**
   * How long an incarnation is remembered as leaving after it is no longer listed. A list that is
   * out of date may name it again. Longer than a target serves requests after it announces that it
   * is leaving.
   */
  private static final long LEAVING_RETENTION_MILLIS = 600_000;

  private final CoreContext context;
  private final PolicyTable table;
  private final Map<TargetId, TargetState> targets = new LinkedHashMap<>();

  /** When each incarnation was last reported to be leaving, whether it is listed or not. */
  private final Map<TargetId, Long> leavingRecordedAt = new HashMap<>();

  private final List<Consumer<TargetState>> leavingListeners = new ArrayList<>();
  private long listVersion = -1;
  private long nextSequence;

  public TargetRegistry(CoreContext context, PolicyTable table) {
    this.context = context;
    this.table = table;
  }

  /** Registers a listener that is called once for each target that starts to leave. */
  public void onLeaving(Consumer<TargetState> listener) {
    leavingListeners.add(listener);
  }

  /** Applies a complete target list, unless one with a higher version was applied. */
  public void applyList(HostList list) {
    if (list.version() >= listVersion) {
      replaceList(list, Set.of());
    }
  }

  /**
   * Applies a target list that is newer than the one before, whatever its version; removes targets
   * that it does not name.
   *
   * @param retained targets that are kept although the list does not name them
   */
  public void replaceList(HostList list, Set<TargetId> retained) {
    TargetListChanges changes = new TargetListChanges();
    Set<TargetId> listed = applyTargets(list, changes);
    removeUnlisted(Sets.union(listed, retained), changes);
    changes.log(context, listVersion, targets.size());
  }

  private Set<TargetId> applyTargets(HostList list, TargetListChanges changes) {
    Set<TargetId> listed = new HashSet<>();
    for (TargetDescription description : list.targets()) {
      listed.add(applyTarget(description, changes));
    }
    listVersion = list.version();
    return listed;
  }

  /** Adds or updates a target. Returns its id, or the id of a later incarnation if one is known. */
  private TargetId applyTarget(TargetDescription description, TargetListChanges changes) {
    TargetState known = targets.get(description.id());
    if (known == null) {
      Optional<TargetId> laterIncarnation =
          targets.keySet().stream().filter(description.id()::isEarlierIncarnationOf).findFirst();
      if (laterIncarnation.isPresent()) {
        return laterIncarnation.get();
      }
      supersede(description, changes);
      known = new TargetState(description, context.now());
      targets.put(description.id(), known);
      changes.added(description.id());
    }
    known.update(description);
    if (description.state() == LifeState.LEAVING
        || leavingRecordedAt.containsKey(description.id())) {
      addLeaving(description.id(), changes);
    }
    return description.id();
  }

  /**
   * Marks the earlier incarnation of a new target as leaving, and the target that had its address.
   */
  private void supersede(TargetDescription successor, TargetListChanges changes) {
    if (listVersion < 0) {
      return;
    }
    for (TargetState known : List.copyOf(targets.values())) {
      TargetId id = known.description().id();
      if (id.isEarlierIncarnationOf(successor.id())
          || known.description().address().equals(successor.address())) {
        addLeaving(id, changes);
      }
    }
  }

  private void removeUnlisted(Set<TargetId> listed, TargetListChanges changes) {
    for (TargetId id : List.copyOf(targets.keySet())) {
      if (!listed.contains(id)) {
        stopNewRequests(id);
        targets.remove(id);
        changes.removed(id);
      }
    }
    long expiredBefore = context.nowIncludingSuspensions() - LEAVING_RETENTION_MILLIS;
    leavingRecordedAt
        .entrySet()
        .removeIf(
            incarnation ->
                incarnation.getValue() < expiredBefore && !listed.contains(incarnation.getKey()));
  }

  private void addLeaving(TargetId id, TargetListChanges changes) {
    if (markLeaving(id)) {
      changes.leaving(id);
    }
  }

  /** Marks a target as leaving and logs it; returns whether it was not marked before. */
  public boolean recordLeaving(TargetId id) {
    boolean changed = markLeaving(id);
    if (changed) {
      int open = targets.get(id).localOpenRequests();
      context.logEvent(EventCode.TARGET_LEAVING, id.toString(), "open here: " + open);
    }
    return changed;
  }

  private boolean markLeaving(TargetId id) {
    leavingRecordedAt.put(id, context.nowIncludingSuspensions());
    return stopNewRequests(id);
  }

  /**
   * Marks a target as leaving and calls the listeners; returns whether it was not marked before.
   */
  private boolean stopNewRequests(TargetId id) {
    TargetState target = targets.get(id);
    if (target == null || !target.markLeaving()) {
      return false;
    }
    leavingListeners.forEach(listener -> listener.accept(target));
    return true;
  }

  /** Returns the targets that are leaving but still listed. */
  public List<TargetId> leavingTargets() {
    return targets.values().stream()
        .filter(TargetState::isLeaving)
        .map(target -> target.description().id())
        .toList();
  }

  /**
   * Chooses a target that has room, one of this data centre if possible; empty if none has room.
   *
   * @param excluded targets that are not chosen
   */
  public Optional<TargetState> choose(
      ServiceName service, PlacementPolicy policy, PlacementQuery query, Set<TargetId> excluded) {
    List<TargetState> candidates =
        usable(service).stream()
            .filter(target -> target.hasRoom(context.now(), query.overShare()))
            .filter(target -> !excluded.contains(target.description().id()))
            .toList();
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    Optional<TargetState> preferred =
        candidates.stream()
            .filter(target -> query.preferred().equals(Optional.of(target.description().id())))
            .findFirst();
    if (preferred.isPresent()) {
      return preferred;
    }
    List<TargetState> local = candidates.stream().filter(this::isLocal).toList();
    return Optional.of(
        policy.choose(
            local.isEmpty() ? candidates : local, query, context.random(), nextSequence++));
  }

  /** Returns the targets of a service that are neither leaving nor failing, including full ones. */
  public List<TargetState> usable(ServiceName service) {
    return targets.values().stream()
        .filter(target -> target.description().service().equals(service))
        .filter(target -> target.isUsable(context.now()))
        .filter(target -> table.weight(target.description().dataCentre()) > 0)
        .toList();
  }

  /** Returns the targets of a service that the target list names, including leaving ones. */
  public List<TargetState> known(ServiceName service) {
    return targets.values().stream()
        .filter(target -> target.description().service().equals(service))
        .toList();
  }

  /** Returns whether this host has open requests at plain services of another version. */
  public boolean hasCallsAtOtherVersions(ServiceName service, String version) {
    return known(service).stream()
        .filter(target -> target.description().kind() == TargetKind.PLAIN_SERVICE)
        .filter(target -> !target.description().version().equals(version))
        .anyMatch(target -> target.localOpenRequests() > 0);
  }

  /** Returns the targets of a service that are not leaving, including failing ones. */
  public List<TargetState> notLeaving(ServiceName service) {
    List<TargetState> found = new ArrayList<>();
    for (TargetState target : targets.values()) {
      TargetDescription description = target.description();
      if (description.service().equals(service)
          && !target.isLeaving()
          && table.weight(description.dataCentre()) > 0) {
        found.add(target);
      }
    }
    return Collections.unmodifiableList(found);
  }

  /** Returns the target of a service at an address, if there is one that is not leaving. */
  public Optional<TargetState> findByAddress(ServiceName service, Address address) {
    return notLeaving(service).stream()
        .filter(target -> target.description().address().equals(address))
        .findFirst();
  }

  private boolean isLocal(TargetState target) {
    DataCentre targetDataCentre = target.description().dataCentre();
    return targetDataCentre.equals(context.dataCentre());
  }

  public Optional<TargetState> find(TargetId id) {
    return Optional.ofNullable(targets.get(id));
  }

  public List<TargetState> all() {
    return List.copyOf(targets.values());
  }

  /** Records that a request was opened at a target. */
  public void recordOpened(TargetState target) {
    target.recordOpened();
  }

  /** Records that a request at a target ended, successfully or not. */
  public void recordClosed(TargetState target) {
    target.recordClosed();
  }

  /** Records a response and the load that the target reported with it. */
  public void recordResponse(TargetState target, int load) {
    target.recordLoad(load, context.now());
    recordResponse(target);
  }

  /** Records a response, which ends the backoff of a failing target. */
  public void recordResponse(TargetState target) {
    if (target.recordResponse()) {
      context.logEvent(EventCode.TARGET_RECOVERED, target.description().id().toString(), "");
    }
  }

  /** Records a response with an error status. */
  public void recordErrorResponse(TargetState target) {
    target.recordError(context.now());
  }

  /** Forgets failures of a target that this host's own network caused. */
  public void retractFailures(TargetId id) {
    find(id).ifPresent(TargetState::retractFailures);
  }

  /** Records a failure; marks the target as leaving if the failure announces that. */
  public void recordFailure(TargetState target, TargetFailure failure) {
    TargetId id = target.description().id();
    if (failure.announcesDraining()) {
      target.recordGone(context.now());
      recordLeaving(id);
      return;
    }
    if (failure.isBadResponse()) {
      target.recordError(context.now());
    }
    if (target.recordFailure(failure, context.now())) {
      context.logEvent(EventCode.TARGET_FAILING, id.toString(), failure.name());
    }
  }
}
