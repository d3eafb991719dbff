package org.gatereel.core.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.internal.Rendezvous;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.statement.AnnouncedLimit;
import org.gatereel.core.statement.LimitFact;
import org.gatereel.core.statement.TargetFacts;

/** Simulates hosts that share the limit of one target, with message delays and virtual time. */
final class LimitWorld {
  static final TargetId TARGET = new TargetId("t1");
  static final long START = 1_000_000;
  private static final long DELAY_MILLIS = 1;
  private static final long TIMEOUT_MILLIS = 150;

  private final Map<Address, Host> hosts = new LinkedHashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
  private final SplittableRandom random;
  private final List<Long> sent = new ArrayList<>();
  private final DataCentre targetDataCentre = dataCentre(0);
  private final int dataCentres;
  private final double perSecond;
  private long now = START;
  private long number;
  private long tokenRequests;

  private record Event(long at, long number, Runnable task) {}

  /** A simulated host, which knows the hosts that {@link #setKnownHosts} has set. */
  final class Host implements IssuerDirectory {
    final CoreContext context;
    final Address address;
    final DataCentre dataCentre;
    private final TargetLimits limits;
    private List<Host> known = new ArrayList<>();
    private long version;
    boolean alive = true;
    boolean cutOff;

    private Host(int index) {
      dataCentre = dataCentre(index % dataCentres);
      address = new Address("10.0." + index / 200 + "." + index % 200, 7);
      context = new CoreContext(new HostId("h" + index), dataCentre, new SplittableRandom(index));
      context.advanceTo(now);
      limits =
          new TargetLimits(
              context, new TargetFacts(context, any -> true), this, this::requestTokens);
      limits.announced().merge(fact());
    }

    @Override
    public List<Address> rankedIssuers(DataCentre dataCentreOfTarget, String key) {
      Map<Boolean, List<Host>> byDataCentre =
          Rendezvous.rank(key, known, host -> host.context.self().value()).stream()
              .collect(
                  Collectors.partitioningBy(host -> host.dataCentre.equals(dataCentreOfTarget)));
      return IssuerDirectory.order(byDataCentre.get(true), byDataCentre.get(false)).stream()
          .map(host -> host.address)
          .toList();
    }

    @Override
    public long version() {
      return version;
    }

    @Override
    public Address self() {
      return address;
    }

    @Override
    public int estimatedHosts() {
      return Math.max(1, known.size());
    }

    void setKnownHosts(List<Host> others) {
      known = List.copyOf(others);
      version++;
    }

    private void requestTokens(
        Address issuer, TokenRequest request, int count, Consumer<Optional<TokenGrant>> callback) {
      tokenRequests++;
      boolean[] called = new boolean[1];
      Consumer<Optional<TokenGrant>> once =
          grant -> {
            if (!called[0]) {
              called[0] = true;
              execute(() -> callback.accept(grant));
            }
          };
      boolean forwarded = ((TokenRequest.LimitTokens) request).forwarded();
      schedule(
          forwarded ? TIMEOUT_MILLIS / 2 : TIMEOUT_MILLIS, () -> once.accept(Optional.empty()));
      Host to = hosts.get(issuer);
      schedule(
          DELAY_MILLIS,
          () -> {
            if (reaches(to)) {
              to.execute(
                  () ->
                      to.limits.issue(
                          (TokenRequest.LimitTokens) request,
                          count,
                          grant -> schedule(DELAY_MILLIS, () -> respond(to, once, grant))));
            }
          });
    }

    private void respond(
        Host from, Consumer<Optional<TokenGrant>> once, Optional<TokenGrant> grant) {
      if (reaches(from)) {
        once.accept(grant);
      }
    }

    private boolean reaches(Host other) {
      return alive && other.alive && !cutOff && !other.cutOff;
    }

    private void execute(Runnable task) {
      if (!alive) {
        return;
      }
      context.advanceTo(now);
      context.timers().runDue(now);
      task.run();
    }

    /** Simulates a request to the target, which is sent if a token is granted. */
    void request(boolean urgent) {
      execute(
          () -> {
            if (!limits.exhausted(urgent).contains(TARGET)) {
              limits.acquire(TARGET, targetDataCentre, urgent, this::sendIfGranted);
            }
          });
    }

    /** Acquires a token without sending a request. */
    void acquire(Consumer<Boolean> callback) {
      execute(() -> limits.acquire(TARGET, targetDataCentre, false, callback));
    }

    private void sendIfGranted(boolean granted) {
      if (granted && !cutOff) {
        sent.add(now);
      }
    }
  }

  LimitWorld(int count, int dataCentres, double perSecond, long seed) {
    this.dataCentres = dataCentres;
    this.perSecond = perSecond;
    this.random = new SplittableRandom(seed);
    for (int index = 0; index < count; index++) {
      add();
    }
    allHosts().forEach(host -> host.setKnownHosts(allHosts()));
    schedule(LimitTokenIssuer.STARTUP_PERIOD_MILLIS, () -> {});
    run(LimitTokenIssuer.STARTUP_PERIOD_MILLIS);
  }

  private static DataCentre dataCentre(int index) {
    return new DataCentre("d" + index);
  }

  private LimitFact fact() {
    return new LimitFact(TARGET, new AnnouncedLimit(perSecond, START));
  }

  /** Starts a host that no other host knows yet. */
  Host add() {
    Host host = new Host(hosts.size());
    hosts.put(host.address, host);
    return host;
  }

  List<Host> allHosts() {
    return List.copyOf(hosts.values());
  }

  /** Returns the host that issues tokens while all hosts respond. */
  Host issuer() {
    return hosts.get(allHosts().get(0).rankedIssuers(targetDataCentre, TARGET.toString()).get(0));
  }

  /** Schedules a task after a delay in milliseconds. */
  void schedule(long millis, Runnable task) {
    events.add(new Event(now + millis, number++, task));
  }

  /** Schedules requests at random hosts, with exponentially distributed intervals. */
  void scheduleRequests(double requestsPerSecond, long millis) {
    long until = now + millis;
    for (double at = now;
        at < until;
        at += -Math.log(1 - random.nextDouble()) * 1_000 / requestsPerSecond) {
      boolean urgent = random.nextInt(10) == 0;
      events.add(
          new Event(
              (long) at,
              number++,
              () -> allHosts().get(random.nextInt(hosts.size())).request(urgent)));
    }
  }

  void run(long millis) {
    long until = now + millis;
    while (!events.isEmpty() && events.peek().at() <= until) {
      Event next = events.remove();
      now = Math.max(now, next.at());
      next.task().run();
    }
    now = until;
  }

  /** Returns the maximum number of requests sent within any 4 s. */
  long maxSentInWindow() {
    long max = 0;
    int from = 0;
    for (int last = 0; last < sent.size(); last++) {
      while (sent.get(from) <= sent.get(last) - 4_000) {
        from++;
      }
      max = Math.max(max, last - from + 1);
    }
    return max;
  }

  double maxAllowedInWindow() {
    return 1.5 * perSecond * 4 + 5;
  }

  /** Returns the ratio of the limit that was used, from a time in milliseconds after the start. */
  double usedRatio(long from) {
    long counted = sent.stream().filter(at -> at >= START + from).count();
    return counted / (perSecond * (now - START - from) / 1_000);
  }

  /** Returns the number of token requests between hosts. */
  long tokenRequests() {
    return tokenRequests;
  }
}
