package org.gatereel.core.load;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.TargetId;

/** The reported loads of other hosts, each for the duration of its lease. */
final class LoadTable {
  /** Long enough for two lost renewals; see {@link LoadExchange#HEARTBEAT_MILLIS}. */
  static final long LEASE_MILLIS = 2_500;

  private final CoreContext context;
  private final Map<Source, SourceState> states = new LinkedHashMap<>();
  private LoadSums others = new LoadSums();
  private boolean othersCurrent;

  private record Source(HostId host, LoadScope scope) {}

  LoadTable(CoreContext context) {
    this.context = context;
  }

  /** Applies a report; returns false if the report that it is based on was not received. */
  boolean receive(LoadReport report) {
    Source source = new Source(report.sender(), report.scope());
    SourceState existing = states.get(source);
    SourceState state = existing == null ? new SourceState() : existing;
    boolean hadInvalidTimes = state.invalidTimesOf().isPresent();
    if (!state.update(report, context.now())) {
      return false;
    }
    if (existing == null) {
      states.put(source, state);
      note(EventCode.LOADS_HEARD, source, "targets=" + state.loads().size());
    }
    if (!hadInvalidTimes && state.invalidTimesOf().isPresent()) {
      note(EventCode.TIMES_UNREADABLE, source, "target=" + state.invalidTimesOf().get());
    }
    othersCurrent = false;
    return true;
  }

  /** Removes sources whose lease has expired; returns whether there were any. */
  boolean expire() {
    long since = context.now() - LEASE_MILLIS;
    boolean removed = false;
    Iterator<Map.Entry<Source, SourceState>> entries = states.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<Source, SourceState> entry = entries.next();
      if (entry.getValue().receivedAt() < since) {
        entries.remove();
        note(
            EventCode.LOADS_LAPSED,
            entry.getKey(),
            "ageMillis=" + (context.now() - entry.getValue().receivedAt()));
        removed = true;
      }
    }
    othersCurrent &= !removed;
    return removed;
  }

  private void note(EventCode code, Source source, String inputs) {
    context.logEvent(code, source.host().value(), "scope=" + source.scope() + " " + inputs);
  }

  /** Returns the hosts of this data centre that report to this one, with their addresses. */
  Map<HostId, Address> reporters() {
    Map<HostId, Address> reporters = new LinkedHashMap<>();
    states.forEach(
        (source, state) -> {
          if (source.scope() == LoadScope.HOST) {
            reporters.put(source.host(), state.replyTo());
          }
        });
    return reporters;
  }

  /** Returns the reported load of all other hosts at a target. */
  TargetLoad othersLoad(TargetId target) {
    return others().loads().getOrDefault(target, TargetLoad.NONE);
  }

  /** Returns the reported sums of all other hosts. */
  LoadSums others() {
    expire();
    if (!othersCurrent) {
      others = sumOfOthers();
      othersCurrent = true;
    }
    return others;
  }

  /** Returns the latest sums sent by a gatherer, or else the sums of all other reports. */
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

  private Optional<SourceState> latest(LoadScope scope) {
    SourceState latest = null;
    for (var entry : states.entrySet()) {
      boolean later = latest == null || entry.getValue().receivedAt() > latest.receivedAt();
      if (entry.getKey().scope() == scope && later) {
        latest = entry.getValue();
      }
    }
    return Optional.ofNullable(latest);
  }

  /** Adds the reported loads of a scope to {@code sums}, except those of one host. */
  void addAll(LoadScope scope, Optional<HostId> excludedHost, LoadSums sums) {
    states.forEach(
        (source, state) -> {
          if (source.scope() == scope && !excludedHost.equals(Optional.of(source.host()))) {
            sums.add(state);
          }
        });
  }

  /** Returns the age of the oldest report in use, in milliseconds; 0 if there is none. */
  long oldestReportAgeMillis() {
    Optional<SourceState> gathered = latest(LoadScope.EVERYONE_ELSE);
    long oldest =
        gathered.isPresent()
            ? gathered.get().receivedAt()
            : states.values().stream()
                .mapToLong(SourceState::receivedAt)
                .min()
                .orElse(context.now());
    return context.now() - oldest;
  }

  int sourceCount() {
    return states.size();
  }
}
