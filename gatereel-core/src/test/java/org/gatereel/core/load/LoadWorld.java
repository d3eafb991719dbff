package org.gatereel.core.load;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.gatereel.core.document.HostDirectory;
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
import org.gatereel.core.poison.PoisonControl;
import org.gatereel.core.table.PolicyTable;
import org.gatereel.core.target.TargetRegistry;
import org.gatereel.core.target.TargetState;

/** Simulated hosts of several data centres that exchange load reports, in simulated time. */
final class LoadWorld {
  static final TargetId ENGINE = new TargetId("e1");
  private static final int PORT = 7_200;
  private static final long DELIVERY_MILLIS = 1;
  private static final long TIMEOUT_MILLIS = 250;
  private static final long START = 1_000_000;

  final Map<String, Host> hosts = new LinkedHashMap<>();
  final List<LoadReport> sent = new ArrayList<>();
  private final Queue<Delivery> deliveries = new ArrayDeque<>();
  private final Set<String> silent = new HashSet<>();

  /** Sending to these addresses throws. */
  final Set<Address> unsendableTo = new HashSet<>();

  private long now = START;

  private record Delivery(long at, Runnable step) {}

  /** One host with its load exchange and poison control. */
  final class Host {
    final String name;
    final String dataCentre;
    final Address address;
    final CoreContext context;
    final TargetRegistry targets;
    final HostDirectory directory;
    final LoadExchange loads;
    final PoisonControl poison;
    private final Set<Address> awaitingReceipt = new HashSet<>();

    private Host(String name, String dataCentre, Address address, long seed) {
      this.name = name;
      this.dataCentre = dataCentre;
      this.address = address;
      context =
          new CoreContext(new HostId(name), new DataCentre(dataCentre), new SplittableRandom(seed));
      context.advanceTo(now);
      targets = new TargetRegistry(context, new PolicyTable());
      targets.applyList(new HostList(1, List.of(), List.of(engine())));
      directory = new HostDirectory(context, address);
      loads = new LoadExchange(context, targets, directory, address, this::send);
      poison = new PoisonControl(context);
      loads.setPoisonFacts(poison);
      poison.onNewFact((fact, source) -> loads.scheduleReports());
    }

    private void send(Address receiver, LoadReport report, Consumer<LoadPort.Receipt> receipt) {
      if (unsendableTo.contains(receiver)) {
        throw new IllegalStateException("the report to " + receiver + " is unsendable");
      }
      sent.add(report);
      if (!awaitingReceipt.add(receiver)) {
        throw new AssertionError(
            "a second report is sent before the receipt of the first to " + receiver);
      }
      Host to =
          hosts.values().stream()
              .filter(host -> host.address.equals(receiver))
              .findFirst()
              .orElse(null);
      if (to == null || silent.contains(name) || silent.contains(to.name)) {
        deliver(TIMEOUT_MILLIS, () -> settle(receiver, receipt, LoadPort.Receipt.LOST));
        return;
      }
      deliver(
          DELIVERY_MILLIS,
          () -> {
            boolean applied = to.loads.receive(report);
            settle(
                receiver,
                receipt,
                applied ? LoadPort.Receipt.TAKEN : LoadPort.Receipt.WHOLE_NEEDED);
          });
    }

    private void settle(
        Address receiver, Consumer<LoadPort.Receipt> receipt, LoadPort.Receipt outcome) {
      awaitingReceipt.remove(receiver);
      receipt.accept(outcome);
    }

    TargetState engineState() {
      return targets.find(ENGINE).orElseThrow();
    }

    void open(int count) {
      for (int index = 0; index < count; index++) {
        targets.recordOpened(engineState());
      }
      loads.scheduleReports();
    }

    void close(int count) {
      for (int index = 0; index < count; index++) {
        targets.recordClosed(engineState());
      }
      loads.scheduleReports();
    }

    int othersOpen() {
      return loads.othersLoad(ENGINE).open();
    }
  }

  static TargetDescription engine() {
    return new TargetDescription(
        ENGINE,
        TargetKind.ENGINE,
        new ServiceName("engines"),
        new DataCentre("north"),
        new Address("10.0.0.1", 80),
        6,
        LifeState.LIVE);
  }

  private void deliver(long after, Runnable step) {
    deliveries.add(new Delivery(now + after, step));
  }

  /** Makes and starts hosts; names are a data centre and a number, as in "north-1". */
  static LoadWorld of(String... names) {
    LoadWorld world = new LoadWorld();
    for (String name : names) {
      world.make(name, 1);
    }
    world.updateDirectories();
    world.hosts.values().forEach(host -> host.loads.start());
    return world;
  }

  private Host make(String name, long seed) {
    String dataCentre = name.substring(0, name.indexOf('-'));
    Address address = new Address(name, PORT);
    Host host = new Host(name, dataCentre, address, seed + name.hashCode());
    hosts.put(name, host);
    return host;
  }

  private void updateDirectories() {
    List<HostDirectory.Entry> entries =
        hosts.values().stream()
            .map(
                host ->
                    new HostDirectory.Entry(
                        host.name, new DataCentre(host.dataCentre), host.address, now))
            .toList();
    hosts.values().forEach(host -> host.directory.update(entries, now));
  }

  Host host(String name) {
    return hosts.get(name);
  }

  /** Returns the host that gathers for a data centre. */
  Host gatherer(String dataCentre) {
    return hosts.values().stream()
        .filter(host -> host.dataCentre.equals(dataCentre))
        .filter(host -> host.directory.higherRankedHosts().isEmpty())
        .findFirst()
        .orElseThrow();
  }

  /** Returns a host of a data centre that does not gather. */
  Host member(String dataCentre) {
    return hosts.values().stream()
        .filter(host -> host.dataCentre.equals(dataCentre))
        .filter(host -> !host.directory.higherRankedHosts().isEmpty())
        .findFirst()
        .orElseThrow();
  }

  /** Stops a host and drops all messages from and to it. */
  void silence(Host host) {
    silent.add(host.name);
  }

  /** Resumes all silenced hosts. */
  void heal() {
    silent.clear();
  }

  /** Restarts a host without its state. */
  Host restart(Host host) {
    silent.remove(host.name);
    Host restarted = make(host.name, 77);
    updateDirectories();
    restarted.loads.start();
    return restarted;
  }

  void pass(long millis) {
    long end = now + millis;
    while (now < end) {
      now++;
      for (Host host : List.copyOf(hosts.values())) {
        host.context.advanceTo(now);
        if (!silent.contains(host.name)) {
          host.context.timers().runDue(now);
        }
      }
      List<Delivery> due = deliveries.stream().filter(delivery -> delivery.at() <= now).toList();
      deliveries.removeAll(due);
      due.forEach(delivery -> delivery.step().run());
    }
  }
}
