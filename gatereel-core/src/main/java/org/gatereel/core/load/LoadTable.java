package org.gatereel.core.load;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.TargetId;

/** What other hosts have told this one, each for as long as its lease lasts. */
final class LoadTable {
  /**
   * Senders renew every {@link LoadExchange#HEARTBEAT_MILLIS}; two renewals may be lost. A host
   * that ends leaves its load behind for no longer.
   */
  static final long LEASE_MILLIS = 2_500;

  private final CoreContext context;
  private final Map<Source, Contribution> contributions = new LinkedHashMap<>();
  private LoadSums others = new LoadSums();
  private boolean summed;

  private record Source(HostId host, LoadScope scope) {}

  LoadTable(CoreContext context) {
    this.context = context;
  }

  /** Takes a report in; returns false if it builds on one that is not known here. */
  boolean take(LoadReport report) {
    Source source = new Source(report.sender(), report.scope());
    Contribution known = contributions.get(source);
    Contribution contribution = known == null ? new Contribution() : known;
    if (!contribution.take(report, context.now())) {
      return false;
    }
    if (known == null) {
      contributions.put(source, contribution);
      note(EventCode.LOADS_HEARD, source, "targets=" + contribution.loads().size());
    }
    summed = false;
    return true;
  }

  /** Drops what was not renewed; returns whether there was any. */
  boolean expire() {
    long since = context.now() - LEASE_MILLIS;
    boolean dropped = false;
    for (var entry : Map.copyOf(contributions).entrySet()) {
      if (entry.getValue().heardAt() < since) {
        contributions.remove(entry.getKey());
        note(
            EventCode.LOADS_LAPSED,
            entry.getKey(),
            "ageMillis=" + (context.now() - entry.getValue().heardAt()));
        dropped = true;
      }
    }
    summed &= !dropped;
    return dropped;
  }

  private void note(EventCode code, Source source, String inputs) {
    context.logEvent(code, source.host().value(), "scope=" + source.scope() + " " + inputs);
  }

  /** Returns the hosts of this data centre that report here, and where they take reports. */
  Map<HostId, Address> reporters() {
    Map<HostId, Address> reporters = new LinkedHashMap<>();
    contributions.forEach(
        (source, contribution) -> {
          if (source.scope() == LoadScope.HOST) {
            reporters.put(source.host(), contribution.replyTo());
          }
        });
    return reporters;
  }

  /** Returns what all other hosts have at a target, as far as it is known. */
  TargetLoad othersAt(TargetId target) {
    return others().loads().getOrDefault(target, TargetLoad.NONE);
  }

  /** Returns what all other hosts have and are asked for, as far as it is known. */
  LoadSums others() {
    expire();
    if (!summed) {
      others = sumOfOthers();
      summed = true;
    }
    return others;
  }

  /** A gatherer's word counts all others; without one, what came here directly does. */
  private LoadSums sumOfOthers() {
    LoadSums sums = new LoadSums();
    latest(LoadScope.EVERYONE_ELSE)
        .ifPresentOrElse(
            sums::add,
            () -> {
              addAll(LoadScope.HOST, Optional.empty(), sums);
              addAll(LoadScope.DATA_CENTRE, Optional.empty(), sums);
            });
    return sums;
  }

  private Optional<Contribution> latest(LoadScope scope) {
    Contribution latest = null;
    for (var entry : contributions.entrySet()) {
      boolean later = latest == null || entry.getValue().heardAt() > latest.heardAt();
      if (entry.getKey().scope() == scope && later) {
        latest = entry.getValue();
      }
    }
    return Optional.ofNullable(latest);
  }

  /** Adds what senders of a scope have said to sums, except for one of them. */
  void addAll(LoadScope scope, Optional<HostId> except, LoadSums sums) {
    contributions.forEach(
        (source, contribution) -> {
          if (source.scope() == scope && !except.equals(Optional.of(source.host()))) {
            sums.add(contribution);
          }
        });
  }

  /** Returns the age of the oldest word that counts, in milliseconds; 0 if there is none. */
  long ageMillis() {
    Optional<Contribution> gathered = latest(LoadScope.EVERYONE_ELSE);
    long oldest =
        gathered.isPresent()
            ? gathered.get().heardAt()
            : contributions.values().stream()
                .mapToLong(Contribution::heardAt)
                .min()
                .orElse(context.now());
    return context.now() - oldest;
  }

  int sources() {
    return contributions.size();
  }
}
