package org.gatereel.proofs.world;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import org.gatereel.core.action.Action;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostDescription;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.LifeState;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.model.TargetKind;
import org.gatereel.proofs.Oracle;
import org.gatereel.proofs.Promise;

/** Small fakes around several decision cores, in one thread and in made-up time. */
public final class World {
  public static final ServiceName ASSISTANT = new ServiceName("assistant");
  public static final ServiceName POINTS = new ServiceName("points");
  static final int SLOTS = 8;
  private static final long MOST_TASKS = 400_000;

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(
          Comparator.comparingLong((Task task) -> task.time)
              .thenComparingLong(task -> task.sequence));
  private final SplittableRandom random;
  private final Oracle oracle = new Oracle();
  private final Network network;
  private final FakePlatform platform;
  private final Map<HostId, FakeHost> hosts = new LinkedHashMap<>();
  private final Map<TargetId, FakeEngine> engines = new LinkedHashMap<>();
  private final Map<TargetId, FakeService> services = new LinkedHashMap<>();
  private final List<Watcher> watchers = new ArrayList<>();
  private long now = 1_000;
  private long sequence;
  private long callers;
  private long tasksRun;

  private record Task(long time, long sequence, Runnable run) {}

  /** Sees every action of every host just after it was carried out. */
  public interface Watcher {
    void saw(FakeHost host, Action action);
  }

  public World(long seed) {
    random = new SplittableRandom(seed);
    network = new Network(this);
    platform = new FakePlatform(this);
  }

  /** Makes the world of most tests: three data centres with a host and an engine each. */
  public static World ofThreeHalls(long seed, int hostsInHall) {
    World world = new World(seed);
    for (String hall : List.of("ayyanthole", "poonkunnam", "ollur")) {
      for (int number = 1; number <= hostsInHall; number++) {
        world.addHost(hall + "-" + number, hall);
      }
      world.addEngine("engine-" + hall, hall);
      world.addService("counter-" + hall, hall);
    }
    world.platform.seedTable();
    world.hosts.values().forEach(FakeHost::start);
    world.runUntil(world.now + 3_000);
    return world;
  }

  private void addHost(String name, String hall) {
    HostDescription description =
        new HostDescription(
            new HostId(name), new DataCentre(hall), address(), address(), LifeState.LIVE);
    hosts.put(description.id(), new FakeHost(this, description));
    platform.list(description);
  }

  private void addEngine(String name, String hall) {
    FakeEngine engine = new FakeEngine(this, target(name, hall, TargetKind.ENGINE, ASSISTANT));
    engines.put(engine.id(), engine);
    platform.list(engine.description());
  }

  private void addService(String name, String hall) {
    FakeService service =
        new FakeService(this, target(name, hall, TargetKind.PLAIN_SERVICE, POINTS));
    services.put(service.id(), service);
    platform.list(service.description());
  }

  private static TargetDescription target(
      String name, String hall, TargetKind kind, ServiceName service) {
    return new TargetDescription(
        new TargetId(name), kind, service, new DataCentre(hall), address(), SLOTS, LifeState.LIVE);
  }

  private static Address address() {
    return new Address("127.0.0.1", 1);
  }

  public long now() {
    return now;
  }

  public SplittableRandom random() {
    return random;
  }

  public Oracle oracle() {
    return oracle;
  }

  public Network network() {
    return network;
  }

  public FakePlatform platform() {
    return platform;
  }

  public List<FakeHost> hosts() {
    return List.copyOf(hosts.values());
  }

  public FakeHost host(HostId id) {
    return hosts.get(id);
  }

  public List<FakeEngine> engines() {
    return List.copyOf(engines.values());
  }

  public FakeEngine engine(TargetId id) {
    return engines.get(id);
  }

  public List<FakeService> services() {
    return List.copyOf(services.values());
  }

  public FakeService service(TargetId id) {
    return services.get(id);
  }

  long nextCaller() {
    return ++callers;
  }

  public void watch(Watcher watcher) {
    watchers.add(watcher);
  }

  void saw(FakeHost host, Action action) {
    List.copyOf(watchers).forEach(watcher -> watcher.saw(host, action));
  }

  public void after(long delay, Runnable run) {
    tasks.add(new Task(now + delay, sequence++, run));
  }

  public void runUntil(long time) {
    runUntil(time, () -> false);
  }

  /** Runs until a condition holds; returns whether it did before {@code time}. */
  public boolean runUntil(long time, BooleanSupplier condition) {
    while (!condition.getAsBoolean()) {
      Task task = tasks.peek();
      if (task == null || task.time > time) {
        now = time;
        return condition.getAsBoolean();
      }
      tasks.poll();
      if (++tasksRun > MOST_TASKS) {
        // Hosts that keep each other busy for ever would serve nobody.
        oracle.violated(Promise.STREAM_WHOLE, "a storm of events at " + now);
        return false;
      }
      now = task.time;
      task.run.run();
    }
    return true;
  }
}
