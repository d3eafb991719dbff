package org.gatereel.core.target;

import java.util.ArrayList;
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

/** The targets that this host knows, and the choice among them. */
public final class TargetRegistry {
  /**
   * A run that leaves stays so when a list names it again: an entry may lapse and return, and the
   * list may be an older one. Longer than a target serves on after it has said that it leaves.
   */
  private static final long LEAVING_KEPT_MILLIS = 600_000;

  private final CoreContext context;
  private final PolicyTable table;
  private final Map<TargetId, TargetState> targets = new LinkedHashMap<>();

  /** When each run was last said to leave, whether it is listed or not. */
  private final Map<TargetId, Long> saidToLeave = new HashMap<>();

  private final List<Consumer<TargetState>> leavingListeners = new ArrayList<>();
  private long listVersion = -1;
  private long sequence;

  public TargetRegistry(CoreContext context, PolicyTable table) {
    this.context = context;
    this.table = table;
  }

  /** Has {@code listener} called once for each target that turns out to be leaving. */
  public void onLeaving(Consumer<TargetState> listener) {
    leavingListeners.add(listener);
  }

  /** Takes in the platform's list, unless a later one was seen. */
  public void see(HostList list) {
    if (list.version() >= listVersion) {
      ListChanges changes = new ListChanges();
      dropUnnamed(seeAll(list, changes), changes);
      changes.note(context, listVersion, targets.size());
    }
  }

  /** Takes in a list that may lack targets which live: known ones that it does not name stay. */
  public void seePartial(HostList list) {
    if (list.version() >= listVersion) {
      ListChanges changes = new ListChanges();
      seeAll(list, changes);
      changes.note(context, listVersion, targets.size());
    }
  }

  private Set<TargetId> seeAll(HostList list, ListChanges changes) {
    Set<TargetId> named = new HashSet<>();
    for (TargetDescription description : list.targets()) {
      named.add(seeTarget(description, changes));
    }
    listVersion = list.version();
    return named;
  }

  /** Takes an entry in; returns the run that now has its name, a later one if it came late. */
  private TargetId seeTarget(TargetDescription description, ListChanges changes) {
    TargetState known = targets.get(description.id());
    if (known == null) {
      Optional<TargetId> later =
          targets.keySet().stream().filter(description.id()::isEarlierIncarnationOf).findFirst();
      if (later.isPresent()) {
        return later.get();
      }
      supersede(description, changes);
      known = new TargetState(description, context.now());
      targets.put(description.id(), known);
      changes.came(description.id());
    }
    known.update(description);
    if (description.state() == LifeState.LEAVING || saidToLeave.containsKey(description.id())) {
      leave(description.id(), changes);
    }
    return description.id();
  }

  /**
   * Gives up the target that had the address of a new one, and the earlier run under its name: they
   * ended, though they may still be listed.
   */
  private void supersede(TargetDescription successor, ListChanges changes) {
    if (listVersion < 0) {
      return;
    }
    for (TargetState known : List.copyOf(targets.values())) {
      TargetId id = known.description().id();
      if (id.isEarlierIncarnationOf(successor.id())
          || known.description().address().equals(successor.address())) {
        leave(id, changes);
      }
    }
  }

  private void dropUnnamed(Set<TargetId> named, ListChanges changes) {
    for (TargetId id : List.copyOf(targets.keySet())) {
      if (!named.contains(id)) {
        turnAway(id);
        targets.remove(id);
        changes.gone(id);
      }
    }
    long before = context.nowIncludingSuspensions() - LEAVING_KEPT_MILLIS;
    saidToLeave
        .entrySet()
        .removeIf(run -> run.getValue() < before && !named.contains(run.getKey()));
  }

  private void leave(TargetId id, ListChanges changes) {
    if (markLeaving(id)) {
      changes.leaving(id);
    }
  }

  /** Marks a target as leaving that no list said so of; returns whether that is news. */
  public boolean leaving(TargetId id) {
    boolean news = markLeaving(id);
    if (news) {
      int open = targets.get(id).openHere();
      context.logEvent(EventCode.TARGET_LEAVING, id.toString(), "open here: " + open);
    }
    return news;
  }

  private boolean markLeaving(TargetId id) {
    saidToLeave.put(id, context.nowIncludingSuspensions());
    return turnAway(id);
  }

  /** Gives a target nothing new; returns whether that is news. */
  private boolean turnAway(TargetId id) {
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

  /** Chooses a target with room, in this data centre if there is one; empty if none has room. */
  public Optional<TargetState> choose(
      ServiceName service, PlacementPolicy policy, PlacementQuery query, Set<TargetId> without) {
    List<TargetState> candidates =
        usable(service).stream()
            .filter(target -> target.hasRoom(context.now(), query.overShare()))
            .filter(target -> !without.contains(target.description().id()))
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
    List<TargetState> near = candidates.stream().filter(this::isHere).toList();
    return Optional.of(
        policy.choose(near.isEmpty() ? candidates : near, query, context.random(), sequence++));
  }

  /** Returns the targets of a service that may get new work, full ones too. */
  public List<TargetState> usable(ServiceName service) {
    return targets.values().stream()
        .filter(target -> target.description().service().equals(service))
        .filter(target -> target.isUsable(context.now()))
        .filter(target -> table.weight(target.description().dataCentre()) > 0)
        .toList();
  }

  /** Returns the targets of a service that the platform's list names, the leaving ones too. */
  public List<TargetState> known(ServiceName service) {
    return targets.values().stream()
        .filter(target -> target.description().service().equals(service))
        .toList();
  }

  /** Returns whether this host has calls open at plain targets of other versions of a service. */
  public boolean hasCallsAtOtherVersions(ServiceName service, String version) {
    return known(service).stream()
        .filter(target -> target.description().kind() == TargetKind.PLAIN_SERVICE)
        .filter(target -> !target.description().version().equals(version))
        .anyMatch(target -> target.openHere() > 0);
  }

  /** Returns the targets of a service that are not leaving, those that fail just now too. */
  public List<TargetState> listed(ServiceName service) {
    return known(service).stream()
        .filter(target -> !target.isLeaving())
        .filter(target -> table.weight(target.description().dataCentre()) > 0)
        .toList();
  }

  /** Returns the target of a service that has an address now and takes requests. */
  public Optional<TargetState> at(ServiceName service, Address address) {
    return listed(service).stream()
        .filter(target -> target.description().address().equals(address))
        .findFirst();
  }

  private boolean isHere(TargetState target) {
    DataCentre there = target.description().dataCentre();
    return there.equals(context.dataCentre());
  }

  public Optional<TargetState> find(TargetId id) {
    return Optional.ofNullable(targets.get(id));
  }

  /** Returns all targets, for status pages. */
  public List<TargetState> all() {
    return List.copyOf(targets.values());
  }

  /** Notes that a request was opened at a target. */
  public void opened(TargetState target) {
    target.opened();
  }

  /** Notes that a request at a target ended, however it did. */
  public void closed(TargetState target) {
    target.closed();
  }

  /** Notes a sign of life with the load that came with it. */
  public void answered(TargetState target, int load) {
    target.reported(load, context.now());
    answered(target);
  }

  /** Notes a sign of life. */
  public void answered(TargetState target) {
    if (target.answered()) {
      context.logEvent(EventCode.TARGET_RECOVERED, target.description().id().toString(), "");
    }
  }

  /** Notes an answer that is an error. */
  public void answeredWithError(TargetState target) {
    target.noteError(context.now());
  }

  /** Notes a failure; a goodbye makes the target a leaving one. */
  public void failed(TargetState target, TargetFailure failure) {
    TargetId id = target.description().id();
    if (failure.announcesDraining()) {
      target.noteGone(context.now());
      leaving(id);
      return;
    }
    if (failure == TargetFailure.ERROR) {
      target.noteError(context.now());
    }
    if (target.failed(failure, context.now())) {
      context.logEvent(EventCode.TARGET_FAILING, id.toString(), failure.name());
    }
  }
}
