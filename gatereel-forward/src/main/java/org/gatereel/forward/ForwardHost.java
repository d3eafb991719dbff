package org.gatereel.forward;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.forward.ConfigurationKeeper;
import org.gatereel.core.forward.DocumentCache;
import org.gatereel.core.forward.ForwardPolicy;
import org.gatereel.core.forward.Forwarder;
import org.gatereel.core.forward.HostDirectory;
import org.gatereel.core.forward.TargetListKeeper;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.limit.Lender;
import org.gatereel.core.load.LoadExchange;
import org.gatereel.core.load.LoadReport;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.poison.PoisonControl;
import org.gatereel.core.rollout.RolloutControl;
import org.gatereel.core.table.PolicyTable;
import org.gatereel.core.target.TargetRegistry;
import org.gatereel.forward.http.CallerServer;
import org.gatereel.forward.http.StatusServer;
import org.gatereel.forward.http.TargetConnector;
import org.gatereel.forward.log.ForwardLog;
import org.gatereel.forward.peer.LoadClient;
import org.gatereel.forward.peer.LoanClient;
import org.gatereel.forward.settings.ForwardSettings;

/** One forwarding process: its thread, its core, its listeners, and how it starts and stops. */
public final class ForwardHost implements AutoCloseable {
  /** How long the balancer may go on sending callers after readiness was withdrawn. */
  private static final long BALANCER_MILLIS = 2_600;

  private static final long LEFT_FOR_EXIT_MILLIS = 900;

  /** Callers give a connection one second to come up; a refusal must still reach them. */
  private static final long LONGEST_CLOSED_MILLIS = 800;

  private static final long OPEN_CHECK_MILLIS = 20;
  private static final long DRAIN_CHECK_MILLIS = 100;

  private final ForwardSettings settings;
  private final ForwardLog log;
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final ControlThread control;
  private final CoreContext context;
  private final ConfigurationKeeper configuration;
  private final TargetRegistry targets;
  private final TargetListKeeper targetList;
  private final HostDirectory directory;
  private final DocumentCache documents = new DocumentCache();
  private final LoanClient loans;
  private final LoadClient loadClient;
  private final LoadExchange loads;
  private final PoisonControl poison;
  private final RolloutControl rollouts;
  private final Forwarder forwarder;
  private final ForwardMetrics metrics = new ForwardMetrics();
  private final CallerServer callers;
  private final StatusServer status;
  private final StatusServer metricsServer;
  private final CountDownLatch drained = new CountDownLatch(1);
  private boolean stopping;

  /**
   * Makes a host; nothing is bound yet.
   *
   * @param dialect how callers and targets are spoken to
   * @param readyPath where the balancer asks for readiness
   */
  public ForwardHost(
      ForwardSettings settings, ForwardLog log, TargetDialect dialect, String readyPath) {
    this.settings = settings;
    this.log = log;
    EventLoop loop = (EventLoop) group.next();
    context =
        new CoreContext(
            new HostId(settings.host()),
            new DataCentre(settings.dataCentre()),
            new SplittableRandom(ThreadLocalRandom.current().nextLong()));
    context.advanceTo(ControlThread.nowMillis());
    control = new ControlThread(loop, context, log);
    ForwardSettings.Bounds bounds = settings.bounds();
    configuration =
        new ConfigurationKeeper(
            context,
            new ConfigurationKeeper.Bounds(
                bounds.strictRevocation(),
                bounds.revocationMillis(),
                bounds.configurationMillis()));
    targets = new TargetRegistry(context, new PolicyTable());
    targetList = new TargetListKeeper(targets, bounds.knownWithinMillis());
    Address peerAddress = ForwardSettings.address(settings.peers());
    directory = new HostDirectory(context, peerAddress);
    loans = new LoanClient(control);
    loadClient = new LoadClient(control);
    loads = new LoadExchange(context, targets, directory, peerAddress, loadClient);
    poison = new PoisonControl(context);
    loads.exchangePoison(poison);
    poison.onNews((fact, source) -> loads.changed());
    rollouts = new RolloutControl(context, bounds.rollouts());
    rollouts.hearOthers(loads::othersEvidence);
    loads.tellEvidence(rollouts::ownEvidence);
    forwarder =
        new Forwarder(
            context,
            targets,
            configuration,
            policy(bounds),
            new TargetConnector(control, dialect),
            metrics,
            directory,
            loans,
            loads,
            rollouts,
            poison);
    callers = new CallerServer(control, configuration, forwarder, dialect.headers());
    status = new StatusServer(loop).page(readyPath, this::readiness);
    metricsServer =
        new StatusServer(loop)
            .page("/metrics", () -> new StatusServer.Page(200, metrics.scrape()))
            .page("/rollouts", this::describeRollouts);
    metrics.gauge("open_requests", forwarder::openExchanges);
    metrics.gauge("caller_connections", callers::openConnections);
    metrics.gauge("configuration_version", configuration::version);
    metrics.gauge("configuration_age_millis", configuration::ageMillis);
    metrics.gauge("hosts", directory::hosts);
    metrics.gauge("load_sources", loads::sources);
    metrics.gauge("load_age_millis", loads::ageMillis);
    metrics.gauge("poison_requests_suspected", poison::suspected);
    metrics.gauge("poison_requests_held", poison::held);
    metrics.gauge("limited_targets", forwarder.limits().book()::size);
    metrics.gauge("resting_targets", forwarder.rests()::size);
    metrics.gauge("leaving_targets", () -> targets.leavingTargets().size());
    metrics.gauge("limit_tokens_granted", forwarder.limits()::granted);
    metrics.gauge("limit_tokens_denied", forwarder.limits()::denied);
    metrics.gauge("log_lines_dropped", log::dropped);
  }

  private static ForwardPolicy policy(ForwardSettings.Bounds bounds) {
    ForwardPolicy standard = ForwardPolicy.STANDARD;
    return new ForwardPolicy(
        standard.unreachableMillis(),
        standard.firstEventProbeMillis(),
        new ForwardPolicy.RetryLimit(
            bounds.retryRatio(), bounds.retrySlack(), bounds.retryWindowMillis()),
        standard.retryAfterMillis(),
        standard.bufferBytes());
  }

  public ControlThread control() {
    return control;
  }

  public CoreContext context() {
    return context;
  }

  public ConfigurationKeeper configuration() {
    return configuration;
  }

  public TargetRegistry targets() {
    return targets;
  }

  /** Returns what takes in the platform's list of targets. */
  public TargetListKeeper targetList() {
    return targetList;
  }

  /** Returns the documents that this host knows and passes on. */
  public DocumentCache documents() {
    return documents;
  }

  /** Returns what lends other hosts what all share. */
  public Lender lender() {
    return (subject, count, answer) -> control.run(() -> forwarder.lend(subject, count, answer));
  }

  /** Returns what hosts have told each other of their load. */
  public LoadExchange loads() {
    return loads;
  }

  /** Takes in what another host tells of its load; returns false if it has to tell all of it. */
  public boolean takeLoads(LoadReport report) {
    boolean[] taken = new boolean[1];
    control.run(() -> taken[0] = loads.take(report));
    return taken[0];
  }

  /** Returns which requests are held back. */
  public PoisonControl poison() {
    return poison;
  }

  /** Returns which versions of targets requests may go to. */
  public RolloutControl rollouts() {
    return rollouts;
  }

  /** Returns what takes in the entries of all hosts. */
  public HostDirectory directory() {
    return directory;
  }

  /** Binds the listeners and serves. */
  public void start() {
    callers.start(ForwardSettings.address(settings.callers()));
    status.start(ForwardSettings.address(settings.status()));
    metricsServer.start(ForwardSettings.address(settings.metrics()));
    log.event(EventCode.HOST_STARTED, settings.host(), "callers=" + settings.callers());
    long openBy = ControlThread.nowMillis() + LONGEST_CLOSED_MILLIS;
    control.loop().execute(() -> openOnceKnown(openBy));
    control.loop().execute(() -> control.run(loads::start));
  }

  /** Takes callers once configuration and targets are known, or in any case after a short while. */
  private void openOnceKnown(long openBy) {
    boolean known = configuration.current().isPresent() && !targets.all().isEmpty();
    if (known || ControlThread.nowMillis() >= openBy) {
      callers.open();
      return;
    }
    control.loop().schedule(() -> openOnceKnown(openBy), OPEN_CHECK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private StatusServer.Page describeRollouts() {
    control.moveClocks();
    List<String> lines = rollouts.describe();
    String text = lines.isEmpty() ? "no roll-out is known" : String.join("\n", lines);
    return new StatusServer.Page(200, text + "\n");
  }

  private StatusServer.Page readiness() {
    control.moveClocks();
    boolean ready = !stopping && configuration.takesKeys();
    return ready
        ? new StatusServer.Page(200, "ready\n")
        : new StatusServer.Page(503, "not ready\n");
  }

  /** Notes that the settings file was read again. */
  public void reloaded(String outcome) {
    control
        .loop()
        .execute(
            () ->
                control.run(
                    () -> context.logEvent(EventCode.SETTINGS_RELOADED, settings.host(), outcome)));
  }

  /** Withdraws readiness, finishes what is open, and returns when that is done or time is up. */
  public void drain() throws InterruptedException {
    long deadline =
        ControlThread.nowMillis() + settings.bounds().graceMillis() - LEFT_FOR_EXIT_MILLIS;
    control
        .loop()
        .execute(
            () -> {
              stopping = true;
              callers.drain();
              log.event(
                  EventCode.HOST_DRAINING,
                  settings.host(),
                  "openRequests=" + forwarder.openExchanges());
              long restUntil = ControlThread.nowMillis() + BALANCER_MILLIS;
              forwarder.beginStop(restUntil, deadline);
              checkDrained(restUntil, deadline);
            });
    drained.await(settings.bounds().graceMillis(), TimeUnit.MILLISECONDS);
  }

  private void checkDrained(long restUntil, long deadline) {
    long now = ControlThread.nowMillis();
    if (now >= restUntil) {
      callers.closeResting();
    }
    boolean done = now >= restUntil && forwarder.openExchanges() == 0;
    if (done || now >= deadline) {
      callers.stopListening();
      control.run(forwarder::stopAll);
      log.event(EventCode.HOST_STOPPED, settings.host(), "inTime=" + done);
      control.loop().schedule(drained::countDown, DRAIN_CHECK_MILLIS, TimeUnit.MILLISECONDS);
      return;
    }
    control
        .loop()
        .schedule(
            () -> checkDrained(restUntil, deadline), DRAIN_CHECK_MILLIS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    callers.close();
    loans.close();
    loadClient.close();
    status.close();
    metricsServer.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
