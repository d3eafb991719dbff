package org.gatereel.core.rollout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.HostList;
import org.gatereel.core.model.LifeState;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.model.TargetKind;
import org.gatereel.core.table.PolicyTable;
import org.gatereel.core.target.TargetRegistry;

/**
 * A simulation, in virtual time, of hosts with their rollout control, a store and a service with
 * two versions. Hosts may be disconnected or stopped, and the store may be unavailable.
 */
final class RolloutWorld {
  static final ServiceName SERVICE = new ServiceName("service");
  static final String OLD = "v1";
  static final String NEW = "v2";
  static final long DURATION_MILLIS = 12_000;

  private static final long POLL_INTERVAL_MILLIS = 900;
  private static final long REPORT_INTERVAL_MILLIS = 300;
  private static final long RECENT_MILLIS = 200;
  private static final long STORE_EPOCH = 500_000;

  final SplittableRandom random;
  final RolloutBounds bounds = RolloutBounds.STANDARD;
  final List<Host> hosts = new ArrayList<>();
  final Map<String, Integer> arrivals = new TreeMap<>();
  final List<RolloutState> states = new ArrayList<>();
  private final Deque<RecentRequest> recent = new ArrayDeque<>();
  private final PriorityQueue<Step> steps = new PriorityQueue<>();
  private final Behaviour behaviour;
  private long now;
  private long number;
  private RolloutRecord row;
  private long revision = 100;
  private long orderedAt = Long.MAX_VALUE;
  private long orderRevision;
  boolean storeUnavailable;

  /** The bounds apply after the store was available for this time. */
  private static final long MIN_CONTACT_MILLIS = 4_000;

  private long lastUnavailableAt = Long.MIN_VALUE / 2;
  long fiftiethBadAt = Long.MAX_VALUE;
  int badResponses;
  int lateRequestsToBad;
  int sentToStopped;
  int newBeforeDeadline;
  int allBeforeDeadline;
  long endedAt = Long.MAX_VALUE;

  /** How the new version responds. */
  interface Behaviour {
    /** Returns the time of a response in milliseconds, negated for an error. */
    double respond(String route, long sinceOrder, double loadRatio, SplittableRandom random);
  }

  private record RecentRequest(long at, boolean newVersion) {}

  private record Step(long at, long number, Runnable task) implements Comparable<Step> {
    @Override
    public int compareTo(Step other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
    }
  }

  /** One host with the evidence that it received and its rollout control. */
  final class Host {
    final String name;
    final CoreContext context;
    final TargetRegistry targets;
    final RolloutControl control;
    final boolean reader;
    final Map<String, Map<EvidenceKey, ResponseTally>> received = new HashMap<>();
    boolean disconnected;
    boolean stopped;

    Host(int index, boolean reader) {
      this.name = "h" + index;
      this.reader = reader;
      context =
          new CoreContext(
              new HostId(name), new DataCentre("north"), new SplittableRandom(random.nextLong()));
      context.advanceTo(now);
      targets = new TargetRegistry(context, new PolicyTable());
      control = new RolloutControl(context, bounds);
      control.setOthersEvidence(this::othersEvidence);
      control.setRecordWriter(() -> this.reader, order -> false, this::write);
    }

    private Map<EvidenceKey, ResponseTally> othersEvidence() {
      Map<EvidenceKey, ResponseTally> sums = new HashMap<>();
      received.forEach(
          (sender, evidence) ->
              evidence.forEach((key, tally) -> sums.merge(key, tally, ResponseTally::plus)));
      return sums;
    }

    private void write(RolloutWrite write) {
      if (!reachesStore()) {
        return;
      }
      after(5, () -> writeRow(this, write.record()));
    }

    private boolean reachesStore() {
      return !disconnected && !stopped && !storeUnavailable;
    }

    void poll() {
      if (reachesStore()) {
        long askedAt = now;
        List<RolloutOrder> orders =
            now >= orderedAt
                ? List.of(new RolloutOrder(SERVICE, NEW, DURATION_MILLIS, orderRevision))
                : List.of();
        HostList list = list();
        List<RolloutRecord> rows = row == null ? List.of() : List.of(row);
        long storeMillis = STORE_EPOCH + now;
        // Other hosts than readers receive the documents through a reader, with a delay.
        after(
            reader ? 5 : 5 + random.nextInt(600),
            () ->
                step(
                    () -> {
                      control.updateTargets(list);
                      targets.applyList(list);
                      control.updateOrders(orders, askedAt);
                      if (control.needsRecords()) {
                        control.updateRecords(rows, storeMillis, askedAt);
                      }
                    }));
      }
      if (!stopped) {
        after(POLL_INTERVAL_MILLIS, this::poll);
      }
    }

    void report() {
      if (stopped) {
        return;
      }
      if (!disconnected) {
        Map<EvidenceKey, ResponseTally> own = control.ownEvidence();
        hosts.stream()
            .filter(other -> other != this && !other.disconnected && !other.stopped)
            .forEach(other -> after(20, () -> other.received.put(name, own)));
      }
      after(REPORT_INTERVAL_MILLIS, this::report);
    }

    void step(Runnable task) {
      if (stopped) {
        return;
      }
      context.advanceTo(now);
      context.timers().runDue(now);
      task.run();
      context.takeActions();
    }

    void request(String route) {
      step(() -> send(route));
    }

    private void send(String route) {
      VersionRule rule = control.ruleForNewRequest(SERVICE, route);
      var usable = rule.among(targets.notLeaving(SERVICE));
      if (usable.isEmpty()) {
        usable = control.rule(SERVICE).among(targets.notLeaving(SERVICE));
      }
      if (usable.isEmpty()) {
        arrivals.merge(now < orderedAt ? "before" : "refused", 1, Integer::sum);
        return;
      }
      String version = usable.get(random.nextInt(usable.size())).description().version();
      countSent(this, version);
      control.recordSent(SERVICE, route, version);
      double millis = respond(version, route);
      long took = (long) Math.max(5, Math.abs(millis));
      after(
          took,
          () ->
              step(
                  () -> {
                    countResponse(version, millis);
                    control.recordResponse(
                        SERVICE, route, version, Signal.WHOLE, Math.abs(millis), millis < 0);
                  }));
    }

    private double respond(String version, String route) {
      return version.equals(OLD)
          ? typicalResponse(random)
          : behaviour.respond(route, now - orderedAt, recentRatioOfNew(), random);
    }
  }

  /** Returns the time of a response of a healthy target; one in 200 is an error. */
  static double typicalResponse(SplittableRandom random) {
    double millis = 60 * Math.exp(0.45 * random.nextGaussian());
    return random.nextInt(200) == 0 ? -millis : millis;
  }

  RolloutWorld(long seed, int hostCount, Behaviour behaviour) {
    this.random = new SplittableRandom(seed);
    this.behaviour = behaviour;
    for (int index = 0; index < hostCount; index++) {
      add(index, index < 3);
    }
  }

  Host add(int index, boolean reader) {
    Host host = new Host(index, reader);
    hosts.add(host);
    after(random.nextInt((int) POLL_INTERVAL_MILLIS), host::poll);
    after(random.nextInt((int) REPORT_INTERVAL_MILLIS), host::report);
    return host;
  }

  private HostList list() {
    List<TargetDescription> targets = new ArrayList<>();
    boolean completed = row != null && row.state() == RolloutState.COMPLETED;
    for (int index = 0; index < 4; index++) {
      if (!completed) {
        targets.add(target(OLD, index));
      }
      if (now - 300 >= orderedAt) {
        targets.add(target(NEW, index));
      }
    }
    return new HostList(now, List.of(), targets);
  }

  private static TargetDescription target(String version, int index) {
    return new TargetDescription(
        new TargetId(version + "-" + index),
        TargetKind.PLAIN_SERVICE,
        SERVICE,
        new DataCentre("north"),
        new Address("10.0." + version.charAt(1) + "." + index, 80),
        6,
        LifeState.LIVE,
        version);
  }

  /** Returns the ratio of recent requests of all hosts that were sent to the new version. */
  private double recentRatioOfNew() {
    recent.removeIf(sent -> sent.at() < now - RECENT_MILLIS);
    long toNew = recent.stream().filter(RecentRequest::newVersion).count();
    return (double) toNew / Math.max(1, recent.size());
  }

  private void countSent(Host host, String version) {
    recent.add(new RecentRequest(now, version.equals(NEW)));
    arrivals.merge(version, 1, Integer::sum);
    boolean completed = row != null && row.state() == RolloutState.COMPLETED;
    if (version.equals(OLD) && completed) {
      sentToStopped++;
    }
    boolean connected = !host.disconnected && now - MIN_CONTACT_MILLIS >= lastUnavailableAt;
    if (connected && now >= orderedAt && now < orderedAt + DURATION_MILLIS) {
      allBeforeDeadline++;
      newBeforeDeadline += version.equals(NEW) ? 1 : 0;
    }
    if (connected && version.equals(NEW) && now - bounds.rollbackMillis() > fiftiethBadAt) {
      lateRequestsToBad++;
    }
  }

  private void countResponse(String version, double millis) {
    boolean bad = millis < 0 || millis > 180;
    if (version.equals(NEW) && bad && ++badResponses == 50) {
      fiftiethBadAt = now;
    }
  }

  private void writeRow(Host writer, RolloutRecord record) {
    long currentRevision = row == null ? 0 : row.revision();
    if (storeUnavailable || currentRevision != record.revision()) {
      return;
    }
    row =
        new RolloutRecord(
            record.service(),
            record.version(),
            record.orderRevision(),
            record.startedAt(),
            record.durationMillis(),
            record.state(),
            ++revision);
    states.add(record.state());
    if (record.state().isEnd()) {
      endedAt = now;
    }
    writer.step(() -> writer.control.updateRecords(List.of(row), STORE_EPOCH + now, now));
  }

  void order() {
    orderRevision = ++revision;
    orderedAt = now;
  }

  void after(long millis, Runnable task) {
    steps.add(new Step(now + millis, number++, task));
  }

  /** Advances the time with requests at a total rate of all hosts. */
  void pass(long millis, double perSecond) {
    long end = now + millis;
    while (now < end) {
      now++;
      lastUnavailableAt = storeUnavailable ? now : lastUnavailableAt;
      while (!steps.isEmpty() && steps.peek().at() <= now) {
        steps.remove().task().run();
      }
      for (double due = perSecond / 1_000; due > 0; due--) {
        if (random.nextDouble() < due) {
          Host host = hosts.get(random.nextInt(hosts.size()));
          host.request(random.nextInt(5) < 3 ? "balance" : "redeem");
        }
      }
      if (now % 50 == 0) {
        hosts.forEach(host -> host.step(() -> {}));
      }
    }
  }

  long now() {
    return now;
  }

  RolloutState state() {
    return states.isEmpty() ? null : states.get(states.size() - 1);
  }

  /** Returns by how many requests the new version exceeded its bound. */
  double excessExposure() {
    return newBeforeDeadline - bounds.exposureRatio() * allBeforeDeadline - bounds.exposureSlack();
  }

  @Override
  public String toString() {
    return "states=%s arrivals=%s new=%d all=%d bad=%d late=%d sentToStopped=%d"
        .formatted(
            states,
            arrivals,
            newBeforeDeadline,
            allBeforeDeadline,
            badResponses,
            lateRequestsToBad,
            sentToStopped);
  }
}
