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
 * Hosts with their real roll-out control before a store and a service of two versions, on virtual
 * time; each message takes a while and may be lost, hosts may be cut off, paused and killed.
 */
final class RolloutWorld {
  static final ServiceName SERVICE = new ServiceName("service");
  static final String OLD = "v1";
  static final String NEW = "v2";
  static final long DURATION_MILLIS = 12_000;

  private static final long POLL_MILLIS = 900;
  private static final long TOLD_MILLIS = 300;
  private static final long LOAD_MILLIS = 200;
  private static final long STORE_EPOCH = 500_000;

  final SplittableRandom random;
  final RolloutBounds bounds = RolloutBounds.STANDARD;
  final List<Host> hosts = new ArrayList<>();
  final Map<String, Integer> arrivals = new TreeMap<>();
  final List<RolloutState> states = new ArrayList<>();
  private final Deque<Arrival> recent = new ArrayDeque<>();
  private final PriorityQueue<Step> steps = new PriorityQueue<>();
  private final Behaviour behaviour;
  private long now;
  private long number;
  private RolloutRecord row;
  private long revision = 100;
  private long orderedAt = Long.MAX_VALUE;
  private long orderRevision;
  boolean storeAway;

  /** What is promised holds where the store has served all this long. */
  private static final long CONTACT_MILLIS = 4_000;

  private long lastAwayAt = Long.MIN_VALUE / 2;
  long fiftiethBadAt = Long.MAX_VALUE;
  int badAnswers;
  int lateToBad;
  int toStopped;
  int newBeforeDeadline;
  int allBeforeDeadline;
  long endedAt = Long.MAX_VALUE;

  /** How the new version answers. */
  interface Behaviour {
    /** Returns the time of an answer in milliseconds, or a negative number for an error. */
    double answer(String route, long sinceOrder, double loadShare, SplittableRandom random);
  }

  private record Arrival(long at, boolean fresh) {}

  private record Step(long at, long number, Runnable task) implements Comparable<Step> {
    @Override
    public int compareTo(Step other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
    }
  }

  /** One host: what it was told, and what it decides. */
  final class Host {
    final String name;
    final CoreContext context;
    final TargetRegistry targets;
    final RolloutControl control;
    final boolean reader;
    final Map<String, Map<EvidenceKey, Tally>> heard = new HashMap<>();
    boolean cutOff;
    boolean dead;

    Host(int index, boolean reader) {
      this.name = "h" + index;
      this.reader = reader;
      context =
          new CoreContext(
              new HostId(name), new DataCentre("north"), new SplittableRandom(random.nextLong()));
      context.advanceTo(now);
      targets = new TargetRegistry(context, new PolicyTable());
      control = new RolloutControl(context, bounds);
      control.hearOthers(this::others);
      control.decideBy(() -> this.reader, order -> false, this::write);
    }

    private Map<EvidenceKey, Tally> others() {
      Map<EvidenceKey, Tally> sums = new HashMap<>();
      heard.forEach(
          (from, evidence) ->
              evidence.forEach((key, tally) -> sums.merge(key, tally, Tally::plus)));
      return sums;
    }

    private void write(RolloutWrite write) {
      if (!reachesStore()) {
        return;
      }
      after(5, () -> stored(this, write.record()));
    }

    private boolean reachesStore() {
      return !cutOff && !dead && !storeAway;
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
        // A host that is no reader learns by way of one, so that its knowledge is as old as that.
        after(
            reader ? 5 : 5 + random.nextInt(600),
            () ->
                step(
                    () -> {
                      control.learnTargets(list);
                      targets.see(list);
                      control.learnOrders(orders, askedAt);
                      if (control.needsRecords()) {
                        control.learnRecords(rows, storeMillis, askedAt);
                      }
                    }));
      }
      if (!dead) {
        after(POLL_MILLIS, this::poll);
      }
    }

    void tell() {
      if (dead) {
        return;
      }
      if (!cutOff) {
        Map<EvidenceKey, Tally> own = control.ownEvidence();
        hosts.stream()
            .filter(other -> other != this && !other.cutOff && !other.dead)
            .forEach(other -> after(20, () -> other.heard.put(name, own)));
      }
      after(TOLD_MILLIS, this::tell);
    }

    void step(Runnable task) {
      if (dead) {
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
      VersionRule rule = control.ruleForNew(SERVICE, route);
      var usable = rule.among(targets.listed(SERVICE));
      if (usable.isEmpty()) {
        usable = control.rule(SERVICE).among(targets.listed(SERVICE));
      }
      if (usable.isEmpty()) {
        arrivals.merge(now < orderedAt ? "before" : "refused", 1, Integer::sum);
        return;
      }
      String version = usable.get(random.nextInt(usable.size())).description().version();
      arrived(this, version);
      control.sent(SERVICE, route, version);
      double millis = answer(version, route);
      long took = (long) Math.max(5, Math.abs(millis));
      after(
          took,
          () ->
              step(
                  () -> {
                    answered(version, millis);
                    control.answered(
                        SERVICE, route, version, Signal.WHOLE, Math.abs(millis), millis < 0);
                  }));
    }

    private double answer(String version, String route) {
      return version.equals(OLD)
          ? usual(random)
          : behaviour.answer(route, now - orderedAt, recentShareOfNew(), random);
    }
  }

  /** Returns the time of an answer of a sound target; one in 200 is an error. */
  static double usual(SplittableRandom random) {
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
    after(random.nextInt((int) POLL_MILLIS), host::poll);
    after(random.nextInt((int) TOLD_MILLIS), host::tell);
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

  /** Returns which part of the latest requests of all hosts went to the new version. */
  private double recentShareOfNew() {
    recent.removeIf(arrival -> arrival.at() < now - LOAD_MILLIS);
    long fresh = recent.stream().filter(Arrival::fresh).count();
    return (double) fresh / Math.max(1, recent.size());
  }

  private void arrived(Host host, String version) {
    recent.add(new Arrival(now, version.equals(NEW)));
    arrivals.merge(version, 1, Integer::sum);
    boolean completed = row != null && row.state() == RolloutState.COMPLETED;
    if (version.equals(OLD) && completed) {
      toStopped++;
    }
    boolean inTouch = !host.cutOff && now - CONTACT_MILLIS >= lastAwayAt;
    if (inTouch && now >= orderedAt && now < orderedAt + DURATION_MILLIS) {
      allBeforeDeadline++;
      newBeforeDeadline += version.equals(NEW) ? 1 : 0;
    }
    if (inTouch && version.equals(NEW) && now - bounds.rollbackMillis() > fiftiethBadAt) {
      lateToBad++;
    }
  }

  private void answered(String version, double millis) {
    boolean bad = millis < 0 || millis > 180;
    if (version.equals(NEW) && bad && ++badAnswers == 50) {
      fiftiethBadAt = now;
    }
  }

  private void stored(Host writer, RolloutRecord record) {
    long known = row == null ? 0 : row.revision();
    if (storeAway || known != record.revision()) {
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
    writer.step(() -> writer.control.learnRecords(List.of(row), STORE_EPOCH + now, now));
  }

  void order() {
    orderRevision = ++revision;
    orderedAt = now;
  }

  void after(long millis, Runnable task) {
    steps.add(new Step(now + millis, number++, task));
  }

  /** Plays a while with requests at a rate of all hosts together. */
  void pass(long millis, double perSecond) {
    long end = now + millis;
    while (now < end) {
      now++;
      lastAwayAt = storeAway ? now : lastAwayAt;
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

  /** Returns by how much the requests that a bad version got pass what is allowed. */
  double excessExposure() {
    return newBeforeDeadline - bounds.exposureShare() * allBeforeDeadline - bounds.exposureSlack();
  }

  @Override
  public String toString() {
    return "states=%s arrivals=%s new=%d all=%d bad=%d late=%d toStopped=%d"
        .formatted(
            states,
            arrivals,
            newBeforeDeadline,
            allBeforeDeadline,
            badAnswers,
            lateToBad,
            toStopped);
  }
}
