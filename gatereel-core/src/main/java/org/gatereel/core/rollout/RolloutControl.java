package org.gatereel.core.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.HostList;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.target.TargetState;

/** The rollouts of all services: their state, the version rules and the decisions of this host. */
public final class RolloutControl {
  /** How often running rollouts are evaluated. */
  static final long TICK_INTERVAL_MILLIS = 100;

  private static final Comparator<ServiceName> BY_NAME = Comparator.comparing(ServiceName::value);

  private final CoreContext context;
  private final RolloutBounds bounds;
  private final ApprovedVersions approvedVersions = new ApprovedVersions();
  private final OrderHistory orders = new OrderHistory();
  private final LocalEvidence localEvidence = new LocalEvidence();
  private final CombinedEvidence evidence = new CombinedEvidence(localEvidence);
  private final Map<ServiceName, Rollout> rollouts = new TreeMap<>(BY_NAME);
  private final RolloutRows rows = new RolloutRows();
  private final WriteSchedule writes;

  /** Versions of earlier orders that were not completed; they must not be used. */
  private final Map<ServiceName, Set<String>> abandoned = new HashMap<>();

  private BooleanSupplier isReader = () -> false;
  private Predicate<Rollout> openBefore = rollout -> false;
  private Consumer<RolloutWrite> writer = write -> {};
  private List<RolloutOrder> listedOrders = List.of();
  private long ordersProvenAt = Long.MIN_VALUE / 2;
  private boolean ticking;

  public RolloutControl(CoreContext context, RolloutBounds bounds) {
    this.context = context;
    this.bounds = bounds;
    this.writes = new WriteSchedule(context.random());
  }

  /** Sets the source of the evidence of all other hosts. */
  public void setOthersEvidence(Supplier<Map<EvidenceKey, ResponseTally>> source) {
    evidence.setOthers(source);
  }

  /**
   * Sets what is needed to write decisions.
   *
   * @param isReader returns whether this host reads the store for others
   * @param hasOpenRequestsBefore returns whether requests that cannot move are open at other
   *     versions than the ordered one
   * @param writer writes a row conditionally; called again until the row is read back
   */
  public void setRecordWriter(
      BooleanSupplier isReader,
      Predicate<RolloutOrder> hasOpenRequestsBefore,
      Consumer<RolloutWrite> writer) {
    this.isReader = isReader;
    openBefore = rollout -> hasOpenRequestsBefore.test(rollout.order());
    this.writer = writer;
  }

  /** Returns the evidence counted by this host, for its reports. */
  public Map<EvidenceKey, ResponseTally> ownEvidence() {
    return Map.copyOf(localEvidence.tallies());
  }

  /**
   * Returns whether rows must be read: a known order has not ended, or the store has returned from
   * an older copy, which may lack an end.
   */
  public boolean needsRecords() {
    boolean isRecentReturn = orders.isReturnRecent(context.nowIncludingSuspensions());
    return rollouts.values().stream()
        .anyMatch(rollout -> isRecentReturn || !rollout.isEnded() || isLost(rollout));
  }

  /** Updates the listed versions; must be called before the registry receives the list. */
  public void updateTargets(HostList list) {
    approvedVersions.update(list, context.nowIncludingSuspensions());
  }

  /**
   * Updates the orders of all services.
   *
   * @param provenAt when the request that returned them was sent to the store
   */
  public void updateOrders(List<RolloutOrder> orders, long provenAt) {
    listedOrders = List.copyOf(orders);
    confirmOrders(provenAt);
  }

  /** Records that the orders were still current at a time. */
  public void confirmOrders(long provenAt) {
    if (orders.isSinceReturn(provenAt)) {
      orders.recordAbsent(listedOrders);
      listedOrders.forEach(this::updateOrder);
    }
    ordersProvenAt = Math.max(ordersProvenAt, provenAt);
    approvedVersions.approveSeenBefore(provenAt);
  }

  /**
   * Records that the store has returned from an older copy. Only what is read from now on shows
   * what the store contains.
   */
  public void recordStoreReturn() {
    orders.recordStoreReturn(context.nowIncludingSuspensions());
    rows.clear();
    writes.clear();
    rollouts.values().forEach(Rollout::recordStoreReturn);
    scheduleTick();
  }

  private void updateOrder(RolloutOrder order) {
    RolloutOrder known = orders.known(order.service());
    switch (orders.record(order, context.nowIncludingSuspensions())) {
      case NEW -> begin(order);
      case WRITTEN_AGAIN -> goOn(order, known);
      case BROUGHT_BACK -> logUnused(order, known);
      case KNOWN, OUTDATED -> {}
    }
  }

  private void begin(RolloutOrder order) {
    abandonReplaced(rollouts.get(order.service()), order);
    long notBefore =
        Math.max(ordersProvenAt, context.nowIncludingSuspensions() - order.durationMillis());
    rollouts.put(order.service(), new Rollout(bounds, context.random(), order, notBefore));
    localEvidence.retainOrder(order.service(), order.revision());
    context.logEvent(
        EventCode.ROLLOUT_ORDERED,
        order.service().value(),
        "version=" + order.version() + " durationMillis=" + order.durationMillis());
    updateRecord(order.service());
    scheduleTick();
  }

  /** Continues with the revision of an order that was written again. */
  private void goOn(RolloutOrder order, RolloutOrder known) {
    rollouts.get(order.service()).setOrderRevision(order.revision());
    localEvidence.changeRevision(order.service(), known.revision(), order.revision());
    context.logEvent(
        EventCode.ROLLOUT_ORDER_REWRITTEN,
        order.service().value(),
        "version=" + order.version() + revisions(order, known));
    updateRecord(order.service());
  }

  private void logUnused(RolloutOrder order, RolloutOrder known) {
    context.logEvent(
        EventCode.ROLLOUT_ORDER_OUTDATED,
        order.service().value(),
        "version=" + order.version() + " known=" + known.version() + revisions(order, known));
  }

  private static String revisions(RolloutOrder order, RolloutOrder known) {
    return " revision=" + order.revision() + " knownRevision=" + known.revision();
  }

  /** Excludes the version of a replaced order that was not completed. */
  private void abandonReplaced(Rollout replaced, RolloutOrder order) {
    Set<String> versions = abandoned.computeIfAbsent(order.service(), any -> new HashSet<>());
    if (replaced != null && !replaced.isCompleted()) {
      versions.add(replaced.order().version());
    }
    versions.remove(order.version());
  }

  /**
   * Updates the rows of all rollouts.
   *
   * @param storeMillis the store's clock when the rows were read
   * @param provenAt when the request that returned them was sent to the store
   */
  public void updateRecords(List<RolloutRecord> records, long storeMillis, long provenAt) {
    if (!orders.isSinceReturn(provenAt)) {
      return;
    }
    rows.update(records, storeMillis, provenAt);
    rollouts.keySet().forEach(this::updateRecord);
  }

  private void updateRecord(ServiceName service) {
    Rollout rollout = rollouts.get(service);
    rows.find(service)
        .filter(row -> row.follows(rollout.order()))
        .ifPresent(row -> updateRecord(rollout, row));
  }

  private void updateRecord(Rollout rollout, RolloutRecord row) {
    Optional<RolloutState> before = rollout.record().map(RolloutRecord::state);
    rollout.updateRecord(row, rows.offset(), rows.provenAt());
    Optional<RolloutState> after = rollout.record().map(RolloutRecord::state);
    if (!before.equals(after)) {
      context.logEvent(
          EventCode.ROLLOUT_STATE,
          row.service().value(),
          "version="
              + row.version()
              + " state="
              + after.orElseThrow()
              + " "
              + RolloutDescription.inputs(rollout));
      writes.remove(row.service());
    }
  }

  /** Returns whether a rollout of the service is running. */
  public boolean isRunning(ServiceName service) {
    Rollout rollout = rollouts.get(service);
    return rollout != null && rollout.isRunning();
  }

  /** Returns the rule for a new request, which may be selected for the canary. */
  public VersionRule ruleForNewRequest(ServiceName service, String route) {
    if (isRunning(service)) {
      Rollout rollout = rollouts.get(service);
      RouteTraffic traffic = RouteTraffic.of(route, evidence.of(rollout.order()));
      double ratio = rollout.newVersionRatio(context.nowIncludingSuspensions(), traffic);
      if (ratio > 0 && ratio < 1 && rollout.sample(route, ratio)) {
        return VersionRule.only(rollout.order().version());
      }
    }
    return rule(service);
  }

  /** Returns the rule for retries, resumed streams and copies. */
  public VersionRule rule(ServiceName service) {
    Set<String> unapproved = new HashSet<>(approvedVersions.unapproved(service));
    unapproved.addAll(abandoned.getOrDefault(service, Set.of()));
    Rollout rollout = rollouts.get(service);
    if (rollout == null) {
      return VersionRule.except(unapproved);
    }
    boolean onlyVersion = approvedVersions.isOnlyListed(service, rollout.order().version());
    return rollout.rule(context.nowIncludingSuspensions(), unapproved, onlyVersion);
  }

  /**
   * Returns whether a request may be sent to a target.
   *
   * @param firstAttempt whether the request was not executed before, so that it may use a version
   *     that is being tried out
   */
  public boolean maySend(ServiceName service, TargetState target, boolean firstAttempt) {
    Rollout rollout = rollouts.get(service);
    String version = target.description().version();
    boolean triedOut =
        firstAttempt
            && rollout != null
            && rollout.isTryingOut(version, context.nowIncludingSuspensions());
    return triedOut || rule(service).admits(target);
  }

  /** Counts a request sent to a target of a version. */
  public void recordSent(ServiceName service, String route, String version) {
    keyIfRunning(service, route, version, Signal.SENT).ifPresent(localEvidence::recordSent);
  }

  /** Counts a response or its failure, with the time until then. */
  public void recordResponse(
      ServiceName service,
      String route,
      String version,
      Signal signal,
      double millis,
      boolean failed) {
    keyIfRunning(service, route, version, signal)
        .ifPresent(key -> localEvidence.recordResponse(key, millis, failed, reference(key)));
  }

  /** Counts a request that was abandoned without response after a time. */
  public void recordAbandoned(
      ServiceName service, String route, String version, Signal signal, double millis) {
    keyIfRunning(service, route, version, signal)
        .ifPresent(key -> localEvidence.recordAbandoned(key, millis, reference(key)));
  }

  private Optional<EvidenceKey> keyIfRunning(
      ServiceName service, String route, String version, Signal signal) {
    return Optional.ofNullable(rollouts.get(service))
        .filter(Rollout::isRunning)
        .map(Rollout::order)
        .map(
            order ->
                new EvidenceKey(
                    service, order.revision(), route, signal, version.equals(order.version())));
  }

  private LocalEvidence.Reference reference(EvidenceKey key) {
    ResponseTally tally = evidence.tally(key.withNewVersion(false));
    long delayMillis =
        key.signal().isSingleTime() ? context.timers().recentDelayMillis(context.now()) : 0;
    return new LocalEvidence.Reference(tally, delayMillis);
  }

  private void scheduleTick() {
    if (!ticking) {
      ticking = true;
      context.schedule(TICK_INTERVAL_MILLIS, this::tick);
    }
  }

  private void tick() {
    ticking = false;
    for (Rollout rollout : List.copyOf(rollouts.values())) {
      if (!rollout.isEnded() || isLost(rollout)) {
        scheduleTick();
        tick(rollout);
      }
    }
  }

  /** Returns whether the store may lack the known row since its return, which is written again. */
  private boolean isLost(Rollout rollout) {
    return rollout.isUnconfirmed()
        && orders.mayBeRead(rollout.order().service(), context.nowIncludingSuspensions());
  }

  private void tick(Rollout rollout) {
    VersionVerdict.Kind before = rollout.verdict().kind();
    if (rollout.isRunning()) {
      rollout.evaluate(evidence.of(rollout.order()), context.nowIncludingSuspensions());
    }
    if (rollout.verdict().kind() != before) {
      context.logEvent(
          EventCode.ROLLOUT_JUDGED,
          rollout.order().service().value(),
          "verdict=" + rollout.verdict().kind() + " " + RolloutDescription.inputs(rollout));
    }
    recordToWrite(rollout).ifPresent(record -> write(rollout, record));
  }

  /** A write is conditioned on revisions that were read since the store's last return. */
  private Optional<RolloutRecord> recordToWrite(Rollout rollout) {
    ServiceName service = rollout.order().service();
    if (!rows.isRead() || !orders.isConfirmed(service)) {
      return Optional.empty();
    }
    if (rollout.isUnconfirmed()) {
      return Optional.of(rollout.lostRecord(rows.revision(service)));
    }
    if (rollout.record().isPresent()) {
      return rollout.nextRecord(
          context.nowIncludingSuspensions(), isReader.getAsBoolean(), openBefore.test(rollout));
    }
    if (!isReader.getAsBoolean()) {
      return Optional.empty();
    }
    return Optional.of(
        rollout.initialRecord(rollout.knownAt() + rows.offset(), rows.revision(service)));
  }

  private void write(Rollout rollout, RolloutRecord record) {
    ServiceName service = rollout.order().service();
    long now = context.nowIncludingSuspensions();
    boolean isReading = isReader.getAsBoolean();
    boolean isDue =
        rollout.isUnconfirmed()
            ? writes.isDueAgain(service, isReading, now)
            : writes.isDue(service, isReading, now);
    if (!isDue) {
      return;
    }
    context.logEvent(
        rollout.isUnconfirmed() ? EventCode.ROLLOUT_ROW_LOST : EventCode.ROLLOUT_DECIDED,
        service.value(),
        "version="
            + record.version()
            + " state="
            + record.state()
            + " "
            + RolloutDescription.inputs(rollout));
    writer.accept(new RolloutWrite(record));
  }

  /** Returns a description of all rollouts and their evidence, for operators. */
  public List<String> describe() {
    List<String> lines = new ArrayList<>();
    for (Rollout rollout : rollouts.values()) {
      VersionRule rule = rule(rollout.order().service());
      long now = context.nowIncludingSuspensions();
      lines.addAll(RolloutDescription.lines(rollout, rule, evidence.of(rollout.order()), now));
    }
    return lines;
  }
}
