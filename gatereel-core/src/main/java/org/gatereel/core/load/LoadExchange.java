package org.gatereel.core.load;

import com.google.common.base.Suppliers;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.internal.GossipFacts;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.model.TargetKind;
import org.gatereel.core.poison.PoisonFact;
import org.gatereel.core.rollout.EvidenceKey;
import org.gatereel.core.rollout.ResponseTally;
import org.gatereel.core.statement.TargetFact;
import org.gatereel.core.target.TargetRegistry;
import org.gatereel.core.target.TargetState;

/**
 * Reports this host's load to other hosts, and sums up the load that they report.
 *
 * <p>Hosts report to the gatherer of their data centre. Gatherers exchange the sums of their data
 * centres, and send each host of their own the sums of all others. If a gatherer does not respond,
 * its hosts report to the next one in rank. A host that receives no reports uses its own
 * observations only.
 */
public final class LoadExchange {
  /**
   * The longest pause between two reports on a link. A change passes three links, and is then at
   * all hosts within the pause of a stream that callers accept, 700 ms.
   */
  public static final long MAX_REPORT_PAUSE_MILLIS = 200;

  static final long HEARTBEAT_MILLIS = 1_000;

  /** Changes within this time are sent in one report. */
  private static final long BATCH_DELAY_MILLIS = 20;

  /** Older failures are not reported, since a receiver would not use them. */
  private static final long REPORTED_FAILURE_MILLIS = LoadTable.LEASE_MILLIS;

  private final CoreContext context;
  private final TargetRegistry targets;
  private final GathererDirectory directory;
  private final LoadPort port;
  private final LoadTable table;
  private final Sender sender;
  private final Map<LoadLink.Receiver, LoadLink> links = new LinkedHashMap<>();
  private final Set<Address> awaitingReceipt = new HashSet<>();
  private Supplier<Map<DemandKey, Double>> demand = Map::of;
  private Supplier<Map<EvidenceKey, ResponseTally>> evidence = Map::of;
  private Supplier<Map<TargetId, TargetTimes>> times = Map::of;
  private FactSources facts = FactSources.NONE;
  private long flushAt = Long.MAX_VALUE;
  private long sequence;

  /** This host, as named in its reports. */
  record Sender(HostId host, Address address, long session) {}

  /**
   * Makes an exchange that sends nothing before {@link #start}.
   *
   * @param address the address at which this host receives reports
   */
  public LoadExchange(
      CoreContext context,
      TargetRegistry targets,
      GathererDirectory directory,
      Address address,
      LoadPort port) {
    this.context = context;
    this.targets = targets;
    this.directory = directory;
    this.port = port;
    this.table = new LoadTable(context);
    this.sender = new Sender(context.self(), address, context.random().nextLong());
  }

  /** Sets the source of this host's demand, in requests per second. */
  public void setDemandSource(Supplier<Map<DemandKey, Double>> source) {
    demand = source;
  }

  /** Sets the source of the responses that this host counted during running rollouts. */
  public void setEvidenceSource(Supplier<Map<EvidenceKey, ResponseTally>> source) {
    evidence = source;
  }

  /** Sets the source of the times that this host has learnt of targets. */
  public void setTimesSource(Supplier<Map<TargetId, TargetTimes>> source) {
    times = source;
  }

  /** Sets the facts about poison requests that reports carry. */
  public void setPoisonFacts(GossipFacts<PoisonFact> poisonFacts) {
    facts = new FactSources(poisonFacts, facts.targets());
  }

  /** Sets the facts announced by targets that reports carry. */
  public void setTargetFacts(GossipFacts<TargetFact> targetFacts) {
    facts = new FactSources(facts.poison(), targetFacts);
  }

  /** Starts to send reports. */
  public void start() {
    heartbeat();
  }

  private void heartbeat() {
    context.schedule(HEARTBEAT_MILLIS, this::heartbeat);
    table.expire();
    logWaiting();
    flush();
  }

  private void logWaiting() {
    Map<ReportContent, Long> longest = longestWaits();
    longest.values().removeIf(millis -> millis < HEARTBEAT_MILLIS);
    if (!longest.isEmpty()) {
      context.logEvent(
          EventCode.LOADS_DELAYED,
          sender.host().value(),
          "waitMillis=" + longest + " links=" + links.size());
    }
  }

  private Map<ReportContent, Long> longestWaits() {
    Map<ReportContent, Long> longest = new EnumMap<>(ReportContent.class);
    for (LoadLink link : links.values()) {
      link.waitingSince()
          .forEach((kind, since) -> longest.merge(kind, context.now() - since, Math::max));
    }
    return longest;
  }

  /** Returns how long changes have waited for the bandwidth of a link, at most, in milliseconds. */
  public long longestWaitMillis() {
    return longestWaits().values().stream().mapToLong(Long::longValue).max().orElse(0);
  }

  /** Schedules reports after a change of this host's load. */
  public void scheduleReports() {
    flushBy(context.now() + BATCH_DELAY_MILLIS);
  }

  private void flushBy(long time) {
    if (time < flushAt) {
      flushAt = time;
      context.timers().add(time, () -> flushIfDue(time));
    }
  }

  private void flushIfDue(long time) {
    if (time == flushAt) {
      flush();
    }
  }

  /** Processes a report of another host; returns false if that host must send a complete one. */
  public boolean receive(LoadReport report) {
    boolean applied = table.receive(report);
    facts.merge(report);
    if (applied && report.scope() != LoadScope.EVERYONE_ELSE) {
      scheduleReports();
    }
    return applied;
  }

  /** Returns the reported load of all other hosts at a target. */
  public TargetLoad othersLoad(TargetId target) {
    return table.othersLoad(target);
  }

  /** Returns the times that all other hosts have learnt of a target. */
  public TargetTimes othersTimes(TargetId target) {
    return table.others().times().getOrDefault(target, TargetTimes.UNKNOWN);
  }

  /** Returns the reported demand at all other hosts, in requests per second. */
  public Map<DemandKey, Double> othersDemand() {
    return table.others().demand();
  }

  /** Returns the reported rollout evidence of all other hosts. */
  public Map<EvidenceKey, ResponseTally> othersEvidence() {
    return table.others().evidence();
  }

  /** Returns the age of the oldest report in use, in milliseconds; 0 if there is none. */
  public long oldestReportAgeMillis() {
    return table.oldestReportAgeMillis();
  }

  /** Returns the number of hosts and data centres whose reports are in use. */
  public int sourceCount() {
    return table.sourceCount();
  }

  private void flush() {
    flushAt = Long.MAX_VALUE;
    Map<LoadLink.Receiver, LoadLink> current = new LinkedHashMap<>();
    // Most flushes find that no link may send yet.
    Supplier<LoadSums> own =
        Suppliers.memoize(
            () -> new LoadSums(ownLoads(), demand.get(), evidence.get(), times.get()));
    for (LoadLink.Receiver receiver : receivers()) {
      LoadLink link = links.getOrDefault(receiver, new LoadLink(receiver));
      current.put(receiver, link);
      send(link, own);
    }
    // Links to failing hosts are kept for their backoff.
    links.forEach(
        (receiver, link) -> {
          if (link.isFailing(context.now()) || link.isAwaitingReceipt()) {
            current.putIfAbsent(receiver, link);
          }
        });
    links.clear();
    links.putAll(current);
  }

  private List<LoadLink.Receiver> receivers() {
    Optional<Address> gatherer =
        directory.higherRankedHosts().stream().filter(this::isReachable).findFirst();
    List<LoadLink.Receiver> receivers = new ArrayList<>();
    if (gatherer.isPresent()) {
      receivers.add(new LoadLink.Receiver(gatherer.get(), LoadScope.HOST, Optional.empty()));
    } else {
      directory.hostsOfOtherDataCentres().stream()
          .flatMap(ranked -> ranked.stream().filter(this::isReachable).limit(1))
          .map(address -> new LoadLink.Receiver(address, LoadScope.DATA_CENTRE, Optional.empty()))
          .forEach(receivers::add);
    }
    table
        .reporters()
        .forEach(
            (host, address) ->
                receivers.add(
                    new LoadLink.Receiver(address, LoadScope.EVERYONE_ELSE, Optional.of(host))));
    return receivers;
  }

  private boolean isReachable(Address address) {
    return links.values().stream()
        .filter(link -> link.receiver().address().equals(address))
        .noneMatch(link -> link.isFailing(context.now()));
  }

  private void send(LoadLink link, Supplier<LoadSums> own) {
    if (awaitingReceipt.contains(link.receiver().address())) {
      // The receipt schedules another flush; two links may have the same address.
      return;
    }
    if (context.now() < link.nextReportAt()) {
      flushBy(link.nextReportAt());
      return;
    }
    boolean readsChanges = port.readsChanges(link.receiver().address());
    LoadSums sums = sumsFor(link.receiver(), own.get());
    link.nextReport(sums, facts, sender, ++sequence, context.now(), readsChanges)
        .ifPresent(report -> send(link, report));
  }

  private void send(LoadLink link, LoadReport report) {
    Address receiver = link.receiver().address();
    awaitingReceipt.add(receiver);
    try {
      port.send(receiver, report, receipt -> onReceipt(link, report, receipt));
    } catch (RuntimeException e) {
      context.logEvent(EventCode.LOADS_UNSENDABLE, receiver.toString(), e.toString());
      onReceipt(link, report, LoadPort.Receipt.LOST);
    }
  }

  private void onReceipt(LoadLink link, LoadReport report, LoadPort.Receipt receipt) {
    awaitingReceipt.remove(link.receiver().address());
    boolean wasFailing = link.isFailing(context.now());
    link.onReceipt(receipt, context.now());
    if (receipt == LoadPort.Receipt.LOST && !wasFailing) {
      context.logEvent(
          EventCode.LOADS_UNDELIVERED,
          link.receiver().address().toString(),
          "scope=" + report.scope() + " targets=" + report.loads().size());
    }
    scheduleReports();
  }

  private LoadSums sumsFor(LoadLink.Receiver receiver, LoadSums own) {
    LoadSums sums = own.copy();
    if (receiver.scope() != LoadScope.HOST) {
      table.addAll(LoadScope.HOST, receiver.host(), sums);
    }
    if (receiver.scope() == LoadScope.EVERYONE_ELSE) {
      table.addAll(LoadScope.DATA_CENTRE, Optional.empty(), sums);
    }
    return sums;
  }

  private Map<TargetId, TargetLoad> ownLoads() {
    Map<TargetId, TargetLoad> loads = new HashMap<>();
    for (TargetState target : targets.all()) {
      TargetLoad load =
          target.description().kind() == TargetKind.ENGINE
              ? engineLoad(target)
              : plainServiceLoad(target);
      if (!load.isNone()) {
        loads.put(target.description().id(), load);
      }
    }
    return loads;
  }

  private TargetLoad engineLoad(TargetState target) {
    return new TargetLoad(
        target.localOpenRequests(),
        target.localPrefills(),
        target.localCopies(),
        recentErrors(target),
        recentFailureAt(target));
  }

  /**
   * Leaves out open requests, which usually end before a report is received. Hosts that act on the
   * same outdated loads would all select the same target.
   */
  private TargetLoad plainServiceLoad(TargetState target) {
    return new TargetLoad(0, 0, 0, recentErrors(target), TargetLoad.NEVER);
  }

  private int recentErrors(TargetState target) {
    return (int) Math.round(target.localErrors(context.now()));
  }

  private long recentFailureAt(TargetState target) {
    long failedAt = target.lastFailureAt();
    boolean recent =
        failedAt != TargetLoad.NEVER && context.now() - failedAt < REPORTED_FAILURE_MILLIS;
    return recent ? failedAt : TargetLoad.NEVER;
  }
}
