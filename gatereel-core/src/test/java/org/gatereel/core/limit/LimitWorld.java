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

/** Hosts that share the limit of one target, over messages that take time; time is virtual. */
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
  private final DataCentre targetsPlace = dataCentre(0);
  private final int dataCentres;
  private final double perSecond;
  private long now = START;
  private long number;
  private long asked;

  private record Event(long at, long number, Runnable task) {}

  /** One host; it knows all hosts whose entries it has read. */
  final class Host implements LenderDirectory {
    final CoreContext context;
    final Address address;
    final DataCentre dataCentre;
    private final TargetLimits limits;
    private List<Host> known = new ArrayList<>();
    private long changes;
    boolean alive = true;
    boolean cutOff;

    private Host(int index) {
      dataCentre = dataCentre(index % dataCentres);
      address = new Address("10.0." + index / 200 + "." + index % 200, 7);
      context = new CoreContext(new HostId("h" + index), dataCentre, new SplittableRandom(index));
      context.advanceTo(now);
      limits = new TargetLimits(context, new TargetFacts(context, any -> true), this, this::borrow);
      limits.book().learn(fact());
    }

    @Override
    public List<Address> lenders(DataCentre place, String key) {
      Map<Boolean, List<Host>> byPlace =
          Rendezvous.rank(key, known, host -> host.context.self().value()).stream()
              .collect(Collectors.partitioningBy(host -> host.dataCentre.equals(place)));
      return LenderDirectory.order(byPlace.get(true), byPlace.get(false)).stream()
          .map(host -> host.address)
          .toList();
    }

    @Override
    public long changes() {
      return changes;
    }

    @Override
    public Address self() {
      return address;
    }

    @Override
    public int hosts() {
      return Math.max(1, known.size());
    }

    void knows(List<Host> others) {
      known = List.copyOf(others);
      changes++;
    }

    private void borrow(
        Address lender, LoanSubject subject, int count, Consumer<Optional<Loan>> answer) {
      asked++;
      boolean[] told = new boolean[1];
      Consumer<Optional<Loan>> once =
          loan -> {
            if (!told[0]) {
              told[0] = true;
              step(() -> answer.accept(loan));
            }
          };
      boolean passedOn = ((LoanSubject.Requests) subject).passedOn();
      in(passedOn ? TIMEOUT_MILLIS / 2 : TIMEOUT_MILLIS, () -> once.accept(Optional.empty()));
      Host to = hosts.get(lender);
      in(
          DELAY_MILLIS,
          () -> {
            if (reaches(to)) {
              to.step(
                  () ->
                      to.limits.lend(
                          (LoanSubject.Requests) subject,
                          count,
                          loan -> in(DELAY_MILLIS, () -> reply(to, once, loan))));
            }
          });
    }

    private void reply(Host from, Consumer<Optional<Loan>> once, Optional<Loan> loan) {
      if (reaches(from)) {
        once.accept(loan);
      }
    }

    private boolean reaches(Host other) {
      return alive && other.alive && !cutOff && !other.cutOff;
    }

    private void step(Runnable task) {
      if (!alive) {
        return;
      }
      context.advanceTo(now);
      context.timers().runDue(now);
      task.run();
    }

    /** Has a request for the target come; it is sent if there is a token. */
    void request(boolean urgent) {
      step(
          () -> {
            if (!limits.spent(urgent).contains(TARGET)) {
              limits.take(TARGET, targetsPlace, urgent, this::answered);
            }
          });
    }

    /** Takes a token without a request. */
    void take(Consumer<Boolean> answer) {
      step(() -> limits.take(TARGET, targetsPlace, false, answer));
    }

    private void answered(boolean granted) {
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
    all().forEach(host -> host.knows(all()));
    in(TokenLender.YOUNG_MILLIS, () -> {});
    run(TokenLender.YOUNG_MILLIS);
  }

  private static DataCentre dataCentre(int index) {
    return new DataCentre("d" + index);
  }

  private LimitFact fact() {
    return new LimitFact(TARGET, new AnnouncedLimit(perSecond, START));
  }

  /** Starts one more host, which nobody knows yet. */
  Host add() {
    Host host = new Host(hosts.size());
    hosts.put(host.address, host);
    return host;
  }

  List<Host> all() {
    return List.copyOf(hosts.values());
  }

  /** Returns the host that lends while all hosts answer. */
  Host lender() {
    return hosts.get(all().get(0).lenders(targetsPlace, TARGET.toString()).get(0));
  }

  /** Does something later, in milliseconds from now. */
  void in(long millis, Runnable task) {
    events.add(new Event(now + millis, number++, task));
  }

  /** Has so many requests a second come for a while, at any host. */
  void ask(double rate, long millis) {
    long until = now + millis;
    for (double at = now; at < until; at += -Math.log(1 - random.nextDouble()) * 1_000 / rate) {
      boolean urgent = random.nextInt(10) == 0;
      events.add(
          new Event(
              (long) at, number++, () -> all().get(random.nextInt(hosts.size())).request(urgent)));
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

  /** Returns the most that were sent within 4 s. */
  long mostInWindow() {
    long most = 0;
    int from = 0;
    for (int last = 0; last < sent.size(); last++) {
      while (sent.get(from) <= sent.get(last) - 4_000) {
        from++;
      }
      most = Math.max(most, last - from + 1);
    }
    return most;
  }

  double borne() {
    return 1.5 * perSecond * 4 + 5;
  }

  /** Returns which part of the limit was used from a time on, in milliseconds from the start. */
  double used(long from) {
    long counted = sent.stream().filter(at -> at >= START + from).count();
    return counted / (perSecond * (now - START - from) / 1_000);
  }

  /** Returns how many questions hosts have asked each other. */
  long asked() {
    return asked;
  }
}
