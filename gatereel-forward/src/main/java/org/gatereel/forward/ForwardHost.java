package org.gatereel.forward;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.gatereel.core.document.DocumentCache;
import org.gatereel.core.document.DocumentFreshness;
import org.gatereel.core.document.DocumentKind;
import org.gatereel.core.document.HostDirectory;
import org.gatereel.core.document.TargetListUpdater;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.forward.ConfigurationHolder;
import org.gatereel.core.forward.ForwardPolicy;
import org.gatereel.core.forward.Forwarder;
import org.gatereel.core.forward.RequestGate;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.limit.TokenIssuer;
import org.gatereel.core.load.LoadExchange;
import org.gatereel.core.load.LoadReport;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.poison.PoisonControl;
import org.gatereel.core.reach.TargetReachability;
import org.gatereel.core.retry.RetryLimit;
import org.gatereel.core.rollout.RolloutControl;
import org.gatereel.core.table.PolicyTable;
import org.gatereel.core.target.TargetRegistry;
import org.gatereel.forward.http.CallerServer;
import org.gatereel.forward.http.CloseReason;
import org.gatereel.forward.http.ConnectionState;
import org.gatereel.forward.http.StatusServer;
import org.gatereel.forward.http.TargetConnector;
import org.gatereel.forward.log.ForwardLog;
import org.gatereel.forward.peer.LoadClient;
import org.gatereel.forward.peer.TokenClient;
import org.gatereel.forward.relay.RelayServer;
import org.gatereel.forward.relay.TargetDialer;
import org.gatereel.forward.settings.ForwardSettings;

/** A forwarding host: connects the core to its servers and clients, and starts and stops them. */
public final class ForwardHost implements AutoCloseable {
  /** Callers time out connecting after one second; a rejection must reach them before. */
  private static final long MAX_ACCEPT_DELAY_MILLIS = 800;

  private static final long ACCEPT_CHECK_INTERVAL_MILLIS = 20;

  private final ForwardSettings settings;
  private final ForwardLog log;
  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final ControlThread control;
  private final CoreContext context;
  private final ConfigurationHolder configuration;
  private final TargetRegistry targets;
  private final TargetListUpdater targetList;
  private final HostDirectory directory;
  private final DocumentCache documents = new DocumentCache();
  private final TokenClient tokenClient;
  private final LoadClient loadClient;
  private final LoadExchange loadExchange;
  private final PoisonControl poison;
  private final RolloutControl rollouts;
  private final TargetReachability reachability;
  private final RelayServer relayServer;
  private final DocumentFreshness freshness;
  private final Forwarder forwarder;
  private final RequestGate requests;
  private final ForwardMetrics metrics = new ForwardMetrics();
  private final CallerServer callers;
  private final StatusServer status;
  private final StatusServer metricsServer;
  private volatile boolean stopping;

  /**
   * Makes a host; no address is bound before {@link #start}.
   *
   * @param dialect the headers and documents by which callers, hosts and targets communicate
   * @param readyPath the path of the page on which the load balancer checks readiness
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
        new ConfigurationHolder(
            context,
            new ConfigurationHolder.Bounds(
                bounds.strictRevocation(),
                bounds.revocationMillis(),
                bounds.configurationMillis()));
    targets = new TargetRegistry(context, new PolicyTable());
    targetList = new TargetListUpdater(context, targets, bounds.maxStalenessMillis());
    Address peerAddress = ForwardSettings.address(settings.peers());
    directory = new HostDirectory(context, peerAddress);
    tokenClient = new TokenClient(control);
    loadClient = new LoadClient(control);
    loadExchange = new LoadExchange(context, targets, directory, peerAddress, loadClient);
    poison = new PoisonControl(context);
    loadExchange.setPoisonFacts(poison);
    poison.onNewFact((fact, source) -> loadExchange.scheduleReports());
    rollouts = new RolloutControl(context, bounds.rollouts());
    rollouts.setOthersEvidence(loadExchange::othersEvidence);
    loadExchange.setEvidenceSource(rollouts::ownEvidence);
    reachability = new TargetReachability(context, targets, loadExchange::othersLoad, directory);
    reachability.onLostPath(targets::retractFailures);
    TargetDialer dialer = new TargetDialer(control, reachability, settings::translate);
    relayServer = new RelayServer(control, context, reachability, dialer, settings::translate);
    forwarder =
        new Forwarder(
            context,
            targets,
            configuration,
            policy(settings),
            new TargetConnector(control, dialect, reachability, dialer, settings::translate),
            metrics,
            directory,
            tokenClient,
            loadExchange,
            rollouts,
            poison);
    freshness = new DocumentFreshness(context, bounds.maxStalenessMillis());
    freshness.track(DocumentKind.CONFIGURATION, configuration::ageIfKnown);
    freshness.track(DocumentKind.TARGETS, targetList::ageIfKnown);
    forwarder.setFreshness(freshness);
    requests = new RequestGate(context, freshness, forwarder);
    callers =
        new CallerServer(
            control, configuration, requests, dialect.headers(), this::recordConnectionClosed);
    status = new StatusServer(loop).addPage(readyPath, this::readiness);
    metricsServer =
        new StatusServer(loop)
            .addPage("/metrics", () -> new StatusServer.Page(200, metrics.scrape()))
            .addPage("/rollouts", this::describeRollouts);
    metrics.gauge("open_requests", forwarder::openExchangeCount);
    metrics.gauge("held_requests", requests::heldCount);
    metrics.gauge("waiting_requests", forwarder::waitingRequestCount);
    metrics.gauge("requests_waiting_for_room", forwarder.room()::waitingRequests);
    metrics.gauge("caller_connections", callers::openConnections);
    metrics.gauge("configuration_version", configuration::version);
    metrics.gauge("configuration_age_millis", configuration::ageMillis);
    metrics.gauge("hosts", directory::estimatedHosts);
    metrics.gauge("load_sources", loadExchange::sourceCount);
    metrics.gauge("load_age_millis", loadExchange::oldestReportAgeMillis);
    metrics.gauge("load_wait_millis", loadExchange::longestWaitMillis);
    metrics.gauge("poison_requests_suspected", poison::suspectedCount);
    metrics.gauge("poison_requests_held", poison::quarantinedCount);
    metrics.gauge("unreachable_targets", reachability::unreachableCount);
    metrics.gauge("lost_paths", reachability::lostPathCount);
    metrics.gauge("relayed_by_others", reachability::relayedConnections);
    metrics.gauge("relayed_for_others", relayServer::openCount);
    metrics.gauge("limited_targets", forwarder.limits().announced()::size);
    metrics.gauge("resting_targets", forwarder.backoffs()::size);
    metrics.gauge("leaving_targets", () -> targets.leavingTargets().size());
    metrics.gauge("stream_retries_from_others", () -> forwarder.streamRetries().grantedElsewhere());
    metrics.gauge("limit_tokens_granted", forwarder.limits()::granted);
    metrics.gauge("limit_tokens_denied", forwarder.limits()::denied);
    forwarder
        .speeds()
        .ifPresent(
            speeds -> {
              metrics.gauge("slowest_target", () -> speeds.extremeRelativeTime(true));
              metrics.gauge("fastest_target", () -> speeds.extremeRelativeTime(false));
            });
    metrics.gauge("log_lines_dropped", log::dropped);
  }

  private static ForwardPolicy policy(ForwardSettings settings) {
    ForwardSettings.Bounds bounds = settings.bounds();
    ForwardPolicy standard = ForwardPolicy.STANDARD;
    return new ForwardPolicy(
        standard.probeTimeoutMillis(),
        standard.firstEventProbeMillis(),
        new RetryLimit(bounds.retryRatio(), bounds.retrySlack(), bounds.retryWindowMillis()),
        standard.retryAfterMillis(),
        standard.maxBufferedBytes(),
        settings.features());
  }

  /** Logs each connection that was closed while this host owed its caller something. */
  private void recordConnectionClosed(CloseReason reason, ConnectionState state, String detail) {
    metrics.recordConnectionClosed(reason, state);
    if (state.owesResponse() || (state == ConnectionState.NEW && reason != CloseReason.CALLER)) {
      log.event(EventCode.CALLER_CONNECTION_CLOSED, reason.name(), "state=" + state + " " + detail);
    }
  }

  public ControlThread control() {
    return control;
  }

  public CoreContext context() {
    return context;
  }

  public ConfigurationHolder configuration() {
    return configuration;
  }

  public TargetRegistry targets() {
    return targets;
  }

  /** Returns the receiver of the platform's list of targets. */
  public TargetListUpdater targetList() {
    return targetList;
  }

  /** Returns whether the configuration and the list of targets are recent enough to act on. */
  public DocumentFreshness freshness() {
    return freshness;
  }

  /** Returns the documents that this host serves to other hosts. */
  public DocumentCache documents() {
    return documents;
  }

  /** Returns the issuer of tokens for other hosts. */
  public TokenIssuer tokenIssuer() {
    return (subject, count, callback) ->
        control.run(() -> forwarder.issue(subject, count, callback));
  }

  /** Returns the exchange of load reports between hosts. */
  public LoadExchange loadExchange() {
    return loadExchange;
  }

  /** Processes another host's load report; returns false if the full report is needed. */
  public boolean receiveLoadReport(LoadReport report) {
    boolean[] accepted = new boolean[1];
    control.run(() -> accepted[0] = loadExchange.receive(report));
    return accepted[0];
  }

  /** Returns the control of suspected and quarantined requests. */
  public PoisonControl poison() {
    return poison;
  }

  /** Returns the control of which versions of targets receive requests. */
  public RolloutControl rollouts() {
    return rollouts;
  }

  /** Returns the server that relays connections of other hosts to targets. */
  public RelayServer relayServer() {
    return relayServer;
  }

  /** Returns the directory of all hosts. */
  public HostDirectory directory() {
    return directory;
  }

  /** Binds the listeners and starts serving; fails if an address cannot be bound. */
  public void start() {
    callers.start(ForwardSettings.address(settings.callers()));
    status.start(ForwardSettings.address(settings.status()));
    metricsServer.start(ForwardSettings.address(settings.metrics()));
    log.event(EventCode.HOST_STARTED, settings.host(), "callers=" + settings.callers());
    long acceptDeadlineMillis = ControlThread.nowMillis() + MAX_ACCEPT_DELAY_MILLIS;
    control.loop().execute(() -> acceptOnceReady(acceptDeadlineMillis));
    control.loop().execute(() -> control.run(loadExchange::start));
  }

  /** Accepts callers once configuration and targets are known, at the latest at the deadline. */
  private void acceptOnceReady(long acceptDeadlineMillis) {
    boolean isConfigured = configuration.current().isPresent() && !targets.all().isEmpty();
    if (isConfigured || ControlThread.nowMillis() >= acceptDeadlineMillis) {
      callers.startAccepting();
      return;
    }
    control
        .loop()
        .schedule(
            () -> acceptOnceReady(acceptDeadlineMillis),
            ACCEPT_CHECK_INTERVAL_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  private StatusServer.Page describeRollouts() {
    control.updateClocks();
    List<String> lines = rollouts.describe();
    String text = lines.isEmpty() ? "no roll-out is known" : String.join("\n", lines);
    return new StatusServer.Page(200, text + "\n");
  }

  private StatusServer.Page readiness() {
    control.updateClocks();
    boolean ready = !stopping && configuration.acceptsKeys();
    return ready
        ? new StatusServer.Page(200, "ready\n")
        : new StatusServer.Page(503, "not ready\n");
  }

  /** Logs that the settings file was read again. */
  public void logSettingsReload(String outcome) {
    control
        .loop()
        .execute(
            () ->
                control.run(
                    () -> context.logEvent(EventCode.SETTINGS_RELOADED, settings.host(), outcome)));
  }

  /**
   * Withdraws readiness and waits until all callers have their responses or the grace period
   * expires.
   */
  public void drain() throws InterruptedException {
    stopping = true;
    new GracefulShutdown(control, log, settings, callers, relayServer, requests, forwarder).run();
  }

  @Override
  public void close() {
    callers.close();
    relayServer.close();
    tokenClient.close();
    loadClient.close();
    status.close();
    metricsServer.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
