package org.gatereel.proofs.replay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.gatereel.core.configuration.Configuration;
import org.gatereel.core.configuration.Route;
import org.gatereel.core.document.HostDirectory;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.forward.CallerPort;
import org.gatereel.core.forward.ConfigurationHolder;
import org.gatereel.core.forward.Dispatch;
import org.gatereel.core.forward.Exchange;
import org.gatereel.core.forward.ForwardObserver;
import org.gatereel.core.forward.ForwardPolicy;
import org.gatereel.core.forward.ForwardRequest;
import org.gatereel.core.forward.Forwarder;
import org.gatereel.core.forward.ProbeResult;
import org.gatereel.core.forward.Rejection;
import org.gatereel.core.forward.ResponseEnd;
import org.gatereel.core.forward.ResponseHead;
import org.gatereel.core.forward.TargetPort;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.limit.TokenGrant;
import org.gatereel.core.limit.TokenRequest;
import org.gatereel.core.load.LoadExchange;
import org.gatereel.core.load.LoadPort;
import org.gatereel.core.load.LoadReport;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.HostList;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.poison.PoisonControl;
import org.gatereel.core.rollout.RolloutBounds;
import org.gatereel.core.rollout.RolloutControl;
import org.gatereel.core.statement.Announcement;
import org.gatereel.core.statement.Announcements;
import org.gatereel.core.table.PolicyTable;
import org.gatereel.core.target.TargetRegistry;

/** One host with its real decisions; what it sends is carried by the world. */
final class HostModel {
  private static final long CONNECT_MICROS = 250_000;
  private static final long RETRANSMIT_MICROS = 200_000;
  private static final long REPORT_TIMEOUT_MICROS = 250_000;
  private static final long LOAN_TIMEOUT_MICROS = 150_000;

  private final ReplayWorld world;
  private final VirtualTime time;
  private final CoreContext context;
  private final TargetRegistry targets;
  private final HostDirectory directory;
  private final ConfigurationHolder keeper;
  private final LoadExchange loads;
  private final Forwarder forwarder;
  private final Address address;
  private final List<Connection> connections = new ArrayList<>();
  private long wakeAt = Long.MAX_VALUE;

  HostModel(ReplayWorld world, String name, DataCentre dataCentre, Address address, long seed) {
    this.world = world;
    this.time = world.time();
    this.address = address;
    context = new CoreContext(new HostId(name), dataCentre, new SplittableRandom(seed));
    context.advanceTo(time.millis());
    targets = new TargetRegistry(context, new PolicyTable());
    directory = new HostDirectory(context, address);
    keeper =
        new ConfigurationHolder(
            context, new ConfigurationHolder.Bounds(false, Long.MAX_VALUE, Long.MAX_VALUE));
    loads = new LoadExchange(context, targets, directory, address, this::sendReport);
    PoisonControl poison = new PoisonControl(context);
    loads.setPoisonFacts(poison);
    poison.onNewFact((fact, source) -> loads.scheduleReports());
    forwarder =
        new Forwarder(
            context,
            targets,
            keeper,
            ForwardPolicy.STANDARD.withFeatures(world.features()),
            new Targets(),
            new Observer(),
            directory,
            this::borrow,
            loads,
            new RolloutControl(context, RolloutBounds.STANDARD),
            poison);
  }

  /** Returns the time of a target relative to its service that this host has learnt; 1 if none. */
  double learntRelativeTime(TargetId target) {
    return forwarder
        .speeds()
        .flatMap(speeds -> targets.find(target).map(speeds::relativeTime))
        .orElse(1.0);
  }

  DataCentre dataCentre() {
    return context.dataCentre();
  }

  Address address() {
    return address;
  }

  HostDirectory.Entry entry() {
    return new HostDirectory.Entry(context.self().value(), dataCentre(), address, time.millis());
  }

  void start(Configuration configuration, List<HostDirectory.Entry> hosts, HostList list) {
    step(
        () -> {
          keeper.update(configuration, context.now());
          for (int reading = 0; reading < 3; reading++) {
            directory.update(hosts, context.now());
          }
          targets.applyList(list);
          loads.start();
        });
  }

  void see(HostList list) {
    step(() -> targets.applyList(list));
  }

  /** Takes a request of a caller. */
  Optional<Exchange> accept(ForwardRequest request, CallerPort caller) {
    Holder<Optional<Exchange>> taken = new Holder<>(Optional.empty());
    step(() -> taken.value = forwarder.accept(request, caller));
    return taken.value;
  }

  void callerGone(Exchange exchange) {
    step(exchange::onCallerDisconnected);
  }

  private static final class Holder<T> {
    private T value;

    private Holder(T value) {
      this.value = value;
    }
  }

  /** Breaks the connections to targets that are cut off from here. */
  void resetUnreachable() {
    List.copyOf(connections).forEach(Connection::resetIfUnreachable);
  }

  /** Runs one step of the host and arms its next timer. */
  void step(Runnable task) {
    context.advanceTo(time.millis());
    context.timers().runDue(context.now());
    task.run();
    context.takeActions().forEach(world::noted);
    OptionalLong next = context.timers().nextDeadline();
    if (next.isPresent() && next.getAsLong() < wakeAt) {
      wakeAt = next.getAsLong();
      time.atMillis(wakeAt, this::wake);
    }
  }

  private void wake() {
    if (time.millis() >= wakeAt) {
      wakeAt = Long.MAX_VALUE;
    }
    step(() -> {});
  }

  private void sendReport(Address receiver, LoadReport report, Consumer<LoadPort.Receipt> receipt) {
    Optional<HostModel> to = world.host(receiver);
    if (to.isEmpty() || !world.network().reaches(dataCentre(), to.get().dataCentre())) {
      time.after(REPORT_TIMEOUT_MICROS, () -> step(() -> receipt.accept(LoadPort.Receipt.LOST)));
      return;
    }
    world.report().reported(report.loads().size());
    HostModel host = to.get();
    long delay = world.network().delayMicros(dataCentre(), host.dataCentre());
    time.after(
        delay,
        () ->
            host.step(
                () -> {
                  boolean taken = host.loads.receive(report);
                  LoadPort.Receipt answer =
                      taken ? LoadPort.Receipt.TAKEN : LoadPort.Receipt.WHOLE_NEEDED;
                  time.after(delay, () -> step(() -> receipt.accept(answer)));
                }));
  }

  private void borrow(
      Address lender, TokenRequest subject, int count, Consumer<Optional<TokenGrant>> answer) {
    world.report().borrowed();
    Optional<HostModel> to = world.host(lender);
    if (to.isEmpty() || !world.network().reaches(dataCentre(), to.get().dataCentre())) {
      time.after(LOAN_TIMEOUT_MICROS, () -> step(() -> answer.accept(Optional.empty())));
      return;
    }
    HostModel host = to.get();
    long delay = world.network().delayMicros(dataCentre(), host.dataCentre());
    time.after(
        delay,
        () ->
            host.step(
                () ->
                    host.forwarder.issue(
                        subject,
                        count,
                        loan -> time.after(delay, () -> step(() -> answer.accept(loan))))));
  }

  private static final class Observer implements ForwardObserver {
    @Override
    public void recordResponse(Route route, long millis) {}

    @Override
    public void recordRejection(Rejection refusal) {}

    @Override
    public void recordInterruption(Route route) {}

    @Override
    public void recordStepFailure(RuntimeException failure) {
      throw new AssertionError("a step of a request threw an exception", failure);
    }
  }

  /** The way to the modelled engines. */
  private final class Targets implements TargetPort {
    @Override
    public Call send(Dispatch dispatch, Listener listener) {
      Connection connection = new Connection(dispatch, listener);
      world.report().tried(dispatch.lastEventId().isPresent(), dispatch.continueFrom().isPresent());
      connections.removeIf(old -> old.over);
      connections.add(connection);
      connection.open();
      return connection;
    }

    @Override
    public void probe(TargetDescription target, long timeoutMillis, ProbeListener listener) {
      ProbeResult result = probe(target);
      long delay =
          result == ProbeResult.UNKNOWN
              ? timeoutMillis * 1_000
              : 2 * world.network().delayMicros(dataCentre(), target.dataCentre());
      time.after(delay, () -> step(() -> listener.onResult(result)));
    }

    /** Where nobody listens a connection is reset, and another run says that it is another. */
    private ProbeResult probe(TargetDescription target) {
      if (!world.network().reaches(dataCentre(), target.dataCentre())) {
        return ProbeResult.UNKNOWN;
      }
      boolean alive =
          world
              .target(target.address())
              .filter(TargetModel::isAlive)
              .filter(there -> there.description().id().equals(target.id()))
              .isPresent();
      return alive ? ProbeResult.ALIVE : ProbeResult.GONE;
    }

    @Override
    public void listPrompts(
        TargetDescription target,
        long timeoutMillis,
        Consumer<Announcements> heard,
        Consumer<Optional<Set<String>>> answer) {
      time.after(CONNECT_MICROS, () -> step(() -> answer.accept(Optional.empty())));
    }
  }

  private record Head(
      int status, boolean declaresNotExecuted, boolean isEventStream, Announcements announcements)
      implements ResponseHead {
    @Override
    public boolean isAuthentic() {
      return true;
    }
  }

  private static Announcements statements(Optional<TargetSaying> saying) {
    if (saying.isEmpty()) {
      return Announcements.NONE;
    }
    TargetSaying said = saying.get();
    Announcements leaving =
        said.leaves()
            ? Announcements.NONE.withLeaving(new Announcement.Announced<>(true))
            : Announcements.NONE;
    return said.refuses()
        ? leaving.withBackoffMillis(new Announcement.Announced<>(said.restMillis()))
        : leaving;
  }

  /** One request on its way to an engine, and its answer on the way back. */
  private final class Connection implements TargetPort.Call, TargetModel.Client {
    private final Dispatch dispatch;
    private final TargetPort.Listener listener;
    private TargetModel engine;
    private TargetModel.Run run;
    private boolean sent;
    private long sentAt;
    private boolean over;
    private final Queue<Runnable> unread = new ArrayDeque<>();
    private boolean retransmitting;

    private Connection(Dispatch dispatch, TargetPort.Listener listener) {
      this.dispatch = dispatch;
      this.listener = listener;
    }

    private long delay() {
      return world.network().delayMicros(dataCentre(), dispatch.target().dataCentre());
    }

    private boolean isReached() {
      return world.network().reaches(dataCentre(), dispatch.target().dataCentre());
    }

    private boolean isReset() {
      return world.network().resets(dataCentre(), dispatch.target().dataCentre());
    }

    private void resetIfUnreachable() {
      if (!over && !isReached()) {
        cancel();
        step(() -> listener.onFailure(sent ? TargetFailure.RESET : TargetFailure.NOT_CONNECTED));
      }
    }

    private void open() {
      Optional<TargetModel> there = world.target(dispatch.target().address());
      if (!isReached()) {
        long after = isReset() ? 2 * delay() : CONNECT_MICROS;
        time.after(after, () -> fail(TargetFailure.NOT_CONNECTED));
      } else if (there.isEmpty() || !there.get().isAlive()) {
        time.after(2 * delay(), () -> fail(TargetFailure.NOT_CONNECTED));
      } else {
        engine = there.get();
        time.after(2 * delay(), this::send);
      }
    }

    private void send() {
      if (over) {
        return;
      }
      step(this::sendIfWanted);
    }

    private void sendIfWanted() {
      if (!listener.maySend()) {
        over = true;
        listener.onFailure(TargetFailure.WITHDRAWN);
        return;
      }
      sent = true;
      sentAt = time.millis();
      listener.onSent();
      time.after(delay(), this::arrive);
    }

    private void arrive() {
      if (over) {
        return;
      }
      engine.limit().ifPresent(limit -> limit.arrived(address, time.millis()));
      engine.saying().ifPresent(said -> said.arrived(address, sentAt, time.millis()));
      if (!engine.isAlive()) {
        reset();
      } else if (!engine.description().id().equals(dispatch.target().id())) {
        head(421, true, false);
      } else if (dispatch.continueFrom().isPresent()
          && !engine.hasCopy(dispatch.continueFrom().get())) {
        head(503, true, false);
      } else {
        begin();
      }
    }

    private void begin() {
      TargetModel copyAt = dispatch.copyTo().flatMap(world::target).orElse(null);
      int prompt =
          dispatch.continueFrom().isPresent() ? 0 : (int) dispatch.request().promptTokens();
      run =
          new TargetModel.Run(
              this,
              dispatch.request().id(),
              copyAt,
              prompt,
              Math.max(0, dispatch.lastEventId().orElse(0)),
              world.events());
      dispatch.urgency().ifPresent(urgency -> run.urgency = urgency);
      run.fatal = ((CallerModel.Try) dispatch.request()).fatal();
      run.fatal.ifPresent(content -> content.arrived(time.millis()));
      engine.take(run);
    }

    private void back(Runnable report) {
      time.after(
          delay(),
          () -> {
            unread.add(report);
            deliver();
          });
    }

    /** Delivers what the target sent, in order; a link that is cut delays it. */
    private void deliver() {
      while (!over && !unread.isEmpty()) {
        if (!isReached()) {
          retransmitLater();
          return;
        }
        step(unread.remove());
      }
    }

    private void retransmitLater() {
      if (!retransmitting) {
        retransmitting = true;
        time.after(
            RETRANSMIT_MICROS,
            () -> {
              retransmitting = false;
              deliver();
            });
      }
    }

    private void fail(TargetFailure failure) {
      if (!over) {
        over = true;
        step(() -> listener.onFailure(failure));
      }
    }

    @Override
    public void head(int status, boolean notRun, boolean stream) {
      Optional<TargetLimit> limit = engine.limit();
      limit.ifPresent(named -> named.named(time.millis()));
      Announcement<Double> takes =
          limit.map(named -> Announcement.number(named.perSecond())).orElse(Announcement.none());
      Optional<TargetSaying> saying = engine.saying();
      Announcements said = statements(saying).withLimit(takes);
      saying.ifPresent(word -> word.answered(address, time.millis()));
      back(
          () -> {
            limit.ifPresent(named -> named.told(address, time.millis()));
            saying.ifPresent(word -> word.told(address, time.millis()));
            listener.onHead(new Head(status, notRun, stream, said));
          });
    }

    @Override
    public void event(long id) {
      byte[] bytes = ReplayWorld.eventBytes(id);
      back(() -> listener.onBody(bytes));
    }

    @Override
    public void ended() {
      back(
          () -> {
            over = true;
            listener.onEnd(ResponseEnd.LAST_CHUNK);
          });
    }

    /** A reset is not retransmitted, nor is what an ended process had sent. */
    @Override
    public void reset() {
      time.after(
          delay(),
          () -> {
            deliver();
            unread.clear();
            if (!over && isReached()) {
              over = true;
              step(() -> listener.onFailure(TargetFailure.RESET));
            }
          });
    }

    @Override
    public void cancel() {
      over = true;
      if (run != null) {
        time.after(delay(), () -> engine.cancel(run));
      }
    }
  }
}
