package org.gatereel.core.load;

import java.util.ArrayList;
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
import org.gatereel.core.rollout.Tally;
import org.gatereel.core.statement.TargetFact;
import org.gatereel.core.target.TargetRegistry;
import org.gatereel.core.target.TargetState;

/**
 * Tells other hosts what this one has open at engines, and knows what they have.
 *
 * <p>The host that reads the store for its data centre also gathers: the others report to it, it
 * exchanges sums with the gatherers of other data centres, and tells each host what all others
 * have. A host whose gatherer does not answer reports to the next one; one that nobody reports to
 * decides by what it sees itself. Plain calls end before the news arrives, so that of them errors
 * alone are told.
 */
public final class LoadExchange {
  /** How often a host says that what it told last still holds. */
  static final long HEARTBEAT_MILLIS = 1_000;

  /** What changes within this time goes out together; a stream lasts some hundred times longer. */
  private static final long GATHER_MILLIS = 20;

  /** A failure is told for as long as a report of it counts; an older one decides nothing. */
  private static final long TOLD_MILLIS = LoadTable.LEASE_MILLIS;

  private final CoreContext context;
  private final TargetRegistry targets;
  private final GathererDirectory directory;
  private final LoadPort port;
  private final LoadTable table;
  private final Sender sender;
  private final Map<LoadLink.Receiver, LoadLink> links = new LinkedHashMap<>();
  private final Set<Address> busy = new HashSet<>();
  private Supplier<Map<DemandKey, Double>> demand = Map::of;
  private Supplier<Map<EvidenceKey, Tally>> evidence = Map::of;
  private FactSources facts = FactSources.NONE;
  private long flushAt = Long.MAX_VALUE;
  private long sequence;

  /** Who this host is to others. */
  record Sender(HostId host, Address address, long session) {}

  /**
   * Makes an exchange; nothing is sent before {@link #start}.
   *
   * @param address where this host takes reports
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

  /** Has reports say how many requests a second come to this host. */
  public void tellDemand(Supplier<Map<DemandKey, Double>> told) {
    demand = told;
  }

  /** Has reports say which answers this host counted during the roll-outs that run. */
  public void tellEvidence(Supplier<Map<EvidenceKey, Tally>> told) {
    evidence = told;
  }

  /** Has reports carry what hosts have seen of requests under which targets end. */
  public void exchangePoison(GossipFacts<PoisonFact> told) {
    facts = new FactSources(told, facts.targets());
  }

  /** Has reports carry what targets have said. */
  public void exchangeTargetFacts(GossipFacts<TargetFact> told) {
    facts = new FactSources(facts.poison(), told);
  }

  /** Begins to report. */
  public void start() {
    beat();
  }

  private void beat() {
    table.expire();
    flush();
    context.schedule(HEARTBEAT_MILLIS, this::beat);
  }

  /** Notes that what this host has at some engine has changed. */
  public void changed() {
    flushBy(context.now() + GATHER_MILLIS);
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

  /** Takes another host's report in; returns false if that host has to send a whole one. */
  public boolean take(LoadReport report) {
    boolean taken = table.take(report);
    facts.learn(report);
    if (taken && report.scope() != LoadScope.EVERYONE_ELSE) {
      changed();
    }
    return taken;
  }

  /** Returns what all other hosts have at a target, as far as it is known here. */
  public TargetLoad othersAt(TargetId target) {
    return table.othersAt(target);
  }

  /** Returns how many requests a second come to all other hosts, as far as it is known here. */
  public Map<DemandKey, Double> othersDemand() {
    return table.others().demand();
  }

  /** Returns what all other hosts counted during roll-outs, as far as it is known here. */
  public Map<EvidenceKey, Tally> othersEvidence() {
    return table.others().evidence();
  }

  /** Returns the age of the oldest word of others that counts, in milliseconds. */
  public long ageMillis() {
    return table.ageMillis();
  }

  /** Returns how many hosts, or data centres, are heard from. */
  public int sources() {
    return table.sources();
  }

  private void flush() {
    flushAt = Long.MAX_VALUE;
    Map<LoadLink.Receiver, LoadLink> present = new LinkedHashMap<>();
    LoadSums own = new LoadSums(own(), demand.get(), evidence.get());
    for (LoadLink.Receiver receiver : receivers()) {
      LoadLink link = links.getOrDefault(receiver, new LoadLink(receiver));
      present.put(receiver, link);
      send(link, own);
    }
    // A link that leads to a failing host is kept, so that its backoff is not forgotten.
    links.forEach(
        (receiver, link) -> {
          if (link.isFailing(context.now()) || link.isUnderWay()) {
            present.putIfAbsent(receiver, link);
          }
        });
    links.clear();
    links.putAll(present);
  }

  private List<LoadLink.Receiver> receivers() {
    Optional<Address> gatherer = directory.before().stream().filter(this::isReachable).findFirst();
    List<LoadLink.Receiver> receivers = new ArrayList<>();
    if (gatherer.isPresent()) {
      receivers.add(new LoadLink.Receiver(gatherer.get(), LoadScope.HOST, Optional.empty()));
    } else {
      directory.elsewhere().stream()
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

  private void send(LoadLink link, LoadSums own) {
    if (busy.contains(link.receiver().address())) {
      // Two links may lead to one host; what comes of the report under way flushes again.
      return;
    }
    if (context.now() < link.nextAt()) {
      flushBy(link.nextAt());
      return;
    }
    link.next(sumsFor(link.receiver(), own), facts, sender, ++sequence, context.now())
        .ifPresent(report -> send(link, report));
  }

  private void send(LoadLink link, LoadReport report) {
    Address receiver = link.receiver().address();
    busy.add(receiver);
    port.send(receiver, report, receipt -> settled(link, report, receipt));
  }

  private void settled(LoadLink link, LoadReport report, LoadPort.Receipt receipt) {
    busy.remove(link.receiver().address());
    boolean wasFailing = link.isFailing(context.now());
    link.settled(receipt, context.now());
    if (receipt == LoadPort.Receipt.LOST && !wasFailing) {
      context.logEvent(
          EventCode.LOADS_UNDELIVERED,
          link.receiver().address().toString(),
          "scope=" + report.scope() + " targets=" + report.loads().size());
    }
    changed();
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

  private Map<TargetId, TargetLoad> own() {
    Map<TargetId, TargetLoad> loads = new HashMap<>();
    for (TargetState target : targets.all()) {
      TargetLoad load =
          target.description().kind() == TargetKind.ENGINE ? engineLoad(target) : errorsOf(target);
      if (!load.isNone()) {
        loads.put(target.description().id(), load);
      }
    }
    return loads;
  }

  private TargetLoad engineLoad(TargetState target) {
    return new TargetLoad(
        target.openHere(),
        target.readingHere(),
        target.copiesHere(),
        errorsHere(target),
        lateFailure(target));
  }

  /**
   * Calls of plain services end before the news arrives; hosts that know the same old loads would
   * all turn to the same target at once.
   */
  private TargetLoad errorsOf(TargetState target) {
    return new TargetLoad(0, 0, 0, errorsHere(target), TargetLoad.NEVER);
  }

  private int errorsHere(TargetState target) {
    return (int) Math.round(target.errorsHere(context.now()));
  }

  private long lateFailure(TargetState target) {
    long failedAt = target.lastFailureAt();
    boolean recent = failedAt != TargetLoad.NEVER && context.now() - failedAt < TOLD_MILLIS;
    return recent ? failedAt : TargetLoad.NEVER;
  }
}
