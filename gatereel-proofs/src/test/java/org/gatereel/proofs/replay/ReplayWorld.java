package org.gatereel.proofs.replay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.gatereel.core.action.Action;
import org.gatereel.core.configuration.AccountConfiguration;
import org.gatereel.core.configuration.Configuration;
import org.gatereel.core.configuration.Route;
import org.gatereel.core.configuration.RouteKind;
import org.gatereel.core.configuration.ServiceConfiguration;
import org.gatereel.core.document.HostDirectory;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostList;
import org.gatereel.core.model.LifeState;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.model.TargetKind;
import org.gatereel.core.scheduling.SchedulingFeature;

/** Hosts, targets and callers of one replay, and what happens to them. */
final class ReplayWorld {
  static final String HOST_NAME = "replay.example";

  private static final ServiceName ENGINES = new ServiceName("engines");
  private static final ServiceName COUNTERS = new ServiceName("counters");
  private static final int PORT = 80;
  private static final int HOST_PORT = 7_200;
  private static final int ATTEMPTS = 5;
  private static final int PRIORITY = 1;
  private static final int URGENT_PRIORITY = 0;
  private static final long CALL_AIM_MILLIS = 200;
  private static final long CACHE_TOKENS = 88_000;

  /** How long hosts and loads settle before callers come. */
  private static final long SETTLE_MILLIS = 2_000;

  /** Hosts learn of a target that came or went so much later. */
  private static final long LIST_LAG_MILLIS = 800;

  /** Entries of targets that ended without a word go after three heartbeats. */
  private static final long LAPSE_MILLIS = 3_600;

  /** An engine that a request has ended is back after this time. */
  private static final long BACK_MILLIS = 3_000;

  private final Script script;
  private final SplittableRandom random;
  private final VirtualTime time = new VirtualTime();
  private final Network network = new Network();
  private final Map<Address, HostModel> hosts = new LinkedHashMap<>();
  private final Map<Integer, List<HostModel>> hostsOf = new HashMap<>();
  private final Map<Address, TargetModel> targets = new LinkedHashMap<>();
  private final Map<TargetId, TargetDescription> listed = new LinkedHashMap<>();
  private final List<CallerModel> callers = new ArrayList<>();
  private final List<FatalContent> fatalContents = new ArrayList<>();
  private final List<TargetLimit> limits = new ArrayList<>();
  private final List<TargetSaying> sayings = new ArrayList<>();
  private final ReplayReport report;
  private final double[] accountTimes;
  private double times = 1;
  private double routineTimes = 1;
  private long listVersion;
  private int incarnation;

  ReplayWorld(Script script, long seed) {
    this.script = script;
    this.random = new SplittableRandom(seed);
    this.report = new ReplayReport(this);
    this.accountTimes = new double[script.accounts()];
    Arrays.fill(accountTimes, 1);
    makeTargets();
    makeHosts();
  }

  private static DataCentre dataCentre(int number) {
    return new DataCentre("dc" + number);
  }

  private void makeTargets() {
    for (int index = 0; index < script.engines(); index++) {
      TargetDescription engine =
          describe(ENGINES, TargetKind.ENGINE, index, "10.2.", script.engineSlots());
      targets.put(
          engine.address(),
          new EngineModel(
              time,
              engine,
              new EngineModel.Rules(
                  script.engineQueue(),
                  script.engineSpeed(),
                  script.engineSpeeds().get(index % script.engineSpeeds().size()),
                  script.engineNoise(),
                  script.engineMemory()),
              new SplittableRandom(index),
              this::endEngine));
      listed.put(engine.id(), engine);
    }
    for (int index = 0; index < script.counters(); index++) {
      TargetDescription counter =
          describe(COUNTERS, TargetKind.PLAIN_SERVICE, index, "10.3.", script.counterSlots());
      long work = script.callMillis() * 1_000L;
      targets.put(counter.address(), new CounterModel(time, counter, script.counterQueue(), work));
      listed.put(counter.id(), counter);
    }
  }

  private TargetDescription describe(
      ServiceName service, TargetKind kind, int index, String network, int slots) {
    return new TargetDescription(
        new TargetId(service.value() + "-" + index),
        kind,
        service,
        dataCentre(index % script.dataCentres()),
        new Address(network + index / 200 + "." + (index % 200 + 1), PORT),
        slots,
        LifeState.LIVE);
  }

  private void makeHosts() {
    for (int index = 0; index < script.hosts(); index++) {
      int where = index % script.dataCentres();
      Address address = new Address("10.1." + index / 200 + "." + (index % 200 + 1), HOST_PORT);
      HostModel host =
          new HostModel(this, "host-" + index, dataCentre(where), address, random.nextLong());
      hosts.put(address, host);
      hostsOf.computeIfAbsent(where, any -> new ArrayList<>()).add(host);
    }
    List<HostDirectory.Entry> entries = hosts.values().stream().map(HostModel::entry).toList();
    Configuration configuration = configuration();
    HostList list = list();
    hosts.values().forEach(host -> host.start(configuration, entries, list));
  }

  private Configuration configuration() {
    Configuration.Builder builder =
        Configuration.builder(1)
            .add(route(CallerModel.Kind.STREAM, RouteKind.STREAM, ENGINES))
            .add(route(CallerModel.Kind.URGENT_STREAM, RouteKind.STREAM, ENGINES))
            .add(route(CallerModel.Kind.CALL, RouteKind.REPEATABLE, COUNTERS))
            .add(
                new ServiceConfiguration(
                    ENGINES,
                    Integer.MAX_VALUE,
                    Optional.of(new ServiceConfiguration.EngineConfiguration(CACHE_TOKENS, true))));
    for (int account = 0; account < script.accounts(); account++) {
      builder.add(
          new AccountConfiguration(
              new AccountId("account-" + account), Set.of(key(account)), PRIORITY));
    }
    return builder.build();
  }

  private Route route(CallerModel.Kind kind, RouteKind routeKind, ServiceName service) {
    return new Route(
        kind.name(),
        HOST_NAME,
        kind.path(),
        routeKind,
        true,
        false,
        kind.deadlineMillis(),
        aimMillis(kind),
        ATTEMPTS,
        kind == CallerModel.Kind.URGENT_STREAM ? URGENT_PRIORITY : PRIORITY,
        700,
        List.of(new Route.WeightedService(service, 1)));
  }

  static String key(int account) {
    return "key-" + account;
  }

  static byte[] eventBytes(long id) {
    return ("id: " + id + "\ndata: x\n\n").getBytes(StandardCharsets.UTF_8);
  }

  VirtualTime time() {
    return time;
  }

  Network network() {
    return network;
  }

  ReplayReport report() {
    return report;
  }

  int prompt() {
    return script.prompt();
  }

  int events() {
    return script.events();
  }

  List<CallerModel> callers() {
    return callers;
  }

  List<TargetModel> targets() {
    return List.copyOf(targets.values());
  }

  Optional<HostModel> host(Address address) {
    return Optional.ofNullable(hosts.get(address));
  }

  Optional<TargetModel> target(Address address) {
    return Optional.ofNullable(targets.get(address));
  }

  HostModel anyHost(int dataCentre) {
    List<HostModel> near = hostsOf.get(dataCentre);
    return near.get(random.nextInt(near.size()));
  }

  /** Plays the whole script. */
  ReplayReport play() {
    for (Script.Trouble trouble : script.trouble()) {
      time.atMillis(millisOf(trouble.at()), () -> trouble.kind().play(this, trouble));
    }
    time.atMillis(SETTLE_MILLIS, () -> nextCaller(CallerModel.Kind.STREAM));
    time.atMillis(SETTLE_MILLIS, () -> nextCaller(CallerModel.Kind.URGENT_STREAM));
    time.atMillis(SETTLE_MILLIS, () -> nextCaller(CallerModel.Kind.CALL));
    time.runUntil(millisOf(script.seconds()) + CallerModel.Kind.STREAM.deadlineMillis());
    return report;
  }

  /** Returns the virtual time of a second of the script, in milliseconds. */
  static long millisOf(double second) {
    return SETTLE_MILLIS + Math.round(second * 1_000);
  }

  private void nextCaller(CallerModel.Kind kind) {
    double usual = usualPerSecond(kind);
    if (usual == 0 || time.millis() >= millisOf(script.seconds())) {
      return;
    }
    double rate = usual * times * growth();
    rate *= kind == CallerModel.Kind.STREAM ? routineTimes : 1;
    double gapSeconds = -Math.log(1 - random.nextDouble()) / rate;
    time.after(
        Math.max(1, Math.round(gapSeconds * 1_000_000)),
        () -> {
          arrive(kind);
          nextCaller(kind);
        });
  }

  private void arrive(CallerModel.Kind kind) {
    if (time.millis() >= millisOf(script.seconds())) {
      return;
    }
    CallerModel caller =
        new CallerModel(
            this,
            kind,
            drawAccount(),
            random.nextInt(script.dataCentres()),
            kind + "-" + callers.size());
    callers.add(caller);
    caller.ask();
  }

  private double weight(int account) {
    return 1.0 / (account + 1);
  }

  private double growth() {
    double usual = 0;
    double present = 0;
    for (int account = 0; account < script.accounts(); account++) {
      usual += weight(account);
      present += weight(account) * accountTimes[account];
    }
    return present / usual;
  }

  private int drawAccount() {
    double sum = 0;
    for (int account = 0; account < script.accounts(); account++) {
      sum += weight(account) * accountTimes[account];
    }
    double left = random.nextDouble() * sum;
    for (int account = 0; account < script.accounts(); account++) {
      left -= weight(account) * accountTimes[account];
      if (left < 0) {
        return account;
      }
    }
    return script.accounts() - 1;
  }

  void grow(double factor, long millis) {
    times *= factor;
    time.after(millis * 1_000, () -> times /= factor);
  }

  private double usualPerSecond(CallerModel.Kind kind) {
    return switch (kind) {
      case STREAM -> script.streams();
      case URGENT_STREAM -> script.urgent().perSecond();
      case CALL -> script.calls();
    };
  }

  /** Returns the objective of a kind of request, in milliseconds. */
  long aimMillis(CallerModel.Kind kind) {
    return switch (kind) {
      case STREAM -> script.streamAimMillis();
      case URGENT_STREAM -> script.urgent().aimMillis();
      case CALL -> CALL_AIM_MILLIS;
    };
  }

  Set<SchedulingFeature> features() {
    return script.features();
  }

  void growRoutine(double factor, long millis) {
    routineTimes *= factor;
    time.after(millis * 1_000, () -> routineTimes /= factor);
  }

  void growAccount(int account, double factor, long millis) {
    accountTimes[account] *= factor;
    time.after(millis * 1_000, () -> accountTimes[account] /= factor);
  }

  void cut(int number, long millis, boolean resets) {
    DataCentre cut = dataCentre(number);
    network.cut(cut, resets);
    if (resets) {
      hosts.values().forEach(HostModel::resetUnreachable);
    }
    time.after(millis * 1_000, () -> network.mend(cut));
  }

  void failEngines(double share, long millis) {
    for (TargetModel engine : draw(enginesOf(any -> true), share)) {
      engine.fail(true);
      time.after(millis * 1_000, () -> engine.fail(false));
    }
  }

  void limitEngines(double share, double perSecond, long millis) {
    draw(enginesOf(any -> true), share).forEach(target -> limit(target, perSecond, millis));
  }

  void limitCounters(double share, double perSecond, long millis) {
    List<TargetModel> counters =
        targets.values().stream().filter(target -> target instanceof CounterModel).toList();
    draw(counters, share).forEach(target -> limit(target, perSecond, millis));
  }

  private void limit(TargetModel target, double perSecond, long millis) {
    TargetLimit limit = new TargetLimit(perSecond);
    limits.add(limit);
    target.name(Optional.of(limit));
    time.after(
        millis * 1_000,
        () -> {
          limit.end(time.millis());
          target.name(Optional.empty());
        });
  }

  private List<TargetModel> targetsOf(Script.ServiceKind kind) {
    ServiceName service = kind == Script.ServiceKind.ENGINES ? ENGINES : COUNTERS;
    return targets.values().stream()
        .filter(target -> target.description().service().equals(service))
        .toList();
  }

  /** Has targets say that they leave until they end. */
  void leave(Script.ServiceKind kind, double share, long millis) {
    for (TargetModel target : draw(targetsOf(kind), share)) {
      TargetSaying saying = TargetSaying.leaving();
      sayings.add(saying);
      target.say(saying);
      time.after(millis * 1_000, () -> endTarget(target, BACK_MILLIS));
    }
  }

  /** Has targets turn all away for some time, and ask for rest. */
  void rest(Script.ServiceKind kind, double share, long restMillis, long millis) {
    for (TargetModel target : draw(targetsOf(kind), share)) {
      TargetSaying saying = TargetSaying.resting(restMillis);
      sayings.add(saying);
      target.say(saying);
      time.after(millis * 1_000, () -> saying.end(time.millis()));
    }
  }

  List<TargetSaying> sayings() {
    return sayings;
  }

  List<TargetLimit> limits() {
    return limits;
  }

  /** Has one request that ends engines come again and again, at any host. */
  void askFatally(int account, boolean headIsSent, double perSecond, long millis) {
    FatalContent content = new FatalContent("fatal-" + fatalContents.size(), headIsSent);
    fatalContents.add(content);
    long gapMicros = Math.round(1_000_000 / perSecond);
    for (long after = 0; after < millis * 1_000; after += gapMicros) {
      time.after(after, () -> askFatally(account, content));
    }
  }

  private void askFatally(int account, FatalContent content) {
    CallerModel caller =
        new CallerModel(
                this,
                CallerModel.Kind.STREAM,
                account,
                random.nextInt(script.dataCentres()),
                content.name() + "-" + callers.size())
            .askingFor(content);
    callers.add(caller);
    caller.ask();
  }

  List<FatalContent> fatalContents() {
    return fatalContents;
  }

  private void endEngine(TargetModel engine, FatalContent content) {
    content.ended(time.millis());
    endTarget(engine, BACK_MILLIS);
  }

  void endEngines(int number, double share, long millis) {
    DataCentre there = dataCentre(number);
    for (TargetModel engine :
        draw(enginesOf(target -> target.description().dataCentre().equals(there)), share)) {
      endTarget(engine, millis);
    }
  }

  private void endTarget(TargetModel engine, long millis) {
    TargetDescription ended = engine.description();
    engine.end();
    time.after(
        LAPSE_MILLIS * 1_000,
        () -> {
          listed.remove(ended.id());
          publish();
        });
    time.after(millis * 1_000, () -> startAgain(engine));
  }

  private void startAgain(TargetModel engine) {
    TargetDescription old = engine.description();
    TargetDescription next =
        new TargetDescription(
            new TargetId(old.service().value() + "-again-" + incarnation++),
            old.kind(),
            old.service(),
            old.dataCentre(),
            old.address(),
            old.slots(),
            LifeState.LIVE);
    engine.start(next);
    time.after(
        LIST_LAG_MILLIS * 1_000,
        () -> {
          listed.put(next.id(), next);
          publish();
        });
  }

  private List<TargetModel> enginesOf(Predicate<TargetModel> wanted) {
    return targets.values().stream()
        .filter(target -> target.description().service().equals(ENGINES))
        .filter(wanted)
        .toList();
  }

  private List<TargetModel> draw(List<TargetModel> among, double share) {
    List<TargetModel> shuffled = new ArrayList<>(among);
    for (int index = shuffled.size() - 1; index > 0; index--) {
      Collections.swap(shuffled, index, random.nextInt(index + 1));
    }
    return shuffled.subList(0, (int) Math.round(share * shuffled.size()));
  }

  private HostList list() {
    return new HostList(listVersion++, List.of(), List.copyOf(listed.values()));
  }

  private void publish() {
    HostList list = list();
    hosts.values().forEach(host -> host.see(list));
  }

  void noted(Action action) {
    if (action instanceof Action.LogEvent note) {
      report.noted(note);
    }
  }
}
