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

/** The roll-outs of all services, as this host knows and carries them. */
public final class RolloutControl {
  /** How often it is looked whether something is to be decided while a roll-out runs. */
  static final long TICK_MILLIS = 100;

  /** A row that was written without an answer is written again after this time. */
  private static final long WRITE_MILLIS = 300;

  /** Hosts that are no readers write what is left undone after a part of this, drawn by each. */
  private static final long SPREAD_MILLIS = 400;

  private static final Comparator<ServiceName> BY_NAME = Comparator.comparing(ServiceName::value);

  private final CoreContext context;
  private final RolloutBounds bounds;
  private final ApprovedVersions versions = new ApprovedVersions();
  private final LocalEvidence book = new LocalEvidence();
  private final Map<ServiceName, Rollout> rollouts = new TreeMap<>(BY_NAME);
  private final Map<ServiceName, RolloutRecord> records = new HashMap<>();
  private final Map<ServiceName, Long> writeAt = new HashMap<>();

  /** Versions of earlier orders that were not completed: nobody vouches for them. */
  private final Map<ServiceName, Set<String>> abandoned = new HashMap<>();

  private Supplier<Map<EvidenceKey, ResponseTally>> others = Map::of;
  private BooleanSupplier reader = () -> false;
  private Predicate<Rollout> openBefore = rollout -> false;
  private Consumer<RolloutWrite> writer = write -> {};
  private Optional<Reading> reading = Optional.empty();
  private long ordersProvenAt = Long.MIN_VALUE / 2;
  private boolean ticking;

  /** When the rows were read, on both clocks. */
  private record Reading(long storeMillis, long provenAt) {
    long offset() {
      return storeMillis - provenAt;
    }
  }

  public RolloutControl(CoreContext context, RolloutBounds bounds) {
    this.context = context;
    this.bounds = bounds;
  }

  /** Says where the evidence of all other hosts is found. */
  public void setOthersEvidence(Supplier<Map<EvidenceKey, ResponseTally>> heard) {
    others = heard;
  }

  /**
   * Says who writes rows.
   *
   * @param isReader tells whether this host reads the store for others
   * @param open tells whether requests that cannot move are open at other versions of a service
   * @param write writes a row under its condition; it is asked again while the row is not read
   */
  public void setRecordWriter(
      BooleanSupplier isReader, Predicate<RolloutOrder> open, Consumer<RolloutWrite> write) {
    reader = isReader;
    openBefore = rollout -> open.test(rollout.order());
    writer = write;
  }

  /** Returns what this host counted, to be told to others. */
  public Map<EvidenceKey, ResponseTally> ownEvidence() {
    return Map.copyOf(book.tallies());
  }

  /** Returns whether rows have to be read: an order is known whose end is not. */
  public boolean needsRecords() {
    return rollouts.values().stream().anyMatch(rollout -> !rollout.isEnded());
  }

  /** Takes in the list of targets that the registry takes in next. */
  public void updateTargets(HostList list) {
    versions.update(list, context.knowledgeTime());
  }

  /**
   * Takes in all orders that the operators have given.
   *
   * @param provenAt when the question was sent that the store answered with them
   */
  public void updateOrders(List<RolloutOrder> orders, long provenAt) {
    for (RolloutOrder order : orders) {
      learnOrder(order);
    }
    ordersProvenAt = Math.max(ordersProvenAt, provenAt);
    versions.approveSeenBefore(provenAt);
  }

  /** Notes that the operators' documents still were as known at a time. */
  public void confirmOrders(long provenAt) {
    ordersProvenAt = Math.max(ordersProvenAt, provenAt);
    versions.approveSeenBefore(provenAt);
  }

  private void learnOrder(RolloutOrder order) {
    Rollout known = rollouts.get(order.service());
    if (known != null && known.order().revision() >= order.revision()) {
      return;
    }
    abandon(known, order);
    long notBefore = Math.max(ordersProvenAt, context.knowledgeTime() - order.durationMillis());
    rollouts.put(order.service(), new Rollout(bounds, context.random(), order, notBefore));
    book.retainOrder(order.service(), order.revision());
    context.note(
        EventCode.ROLLOUT_ORDERED,
        order.service().value(),
        "version=" + order.version() + " durationMillis=" + order.durationMillis());
    learnRecord(order.service());
    tickSoon();
  }

  /** A later order takes an earlier one's place, but makes its version no better. */
  private void abandon(Rollout replaced, RolloutOrder order) {
    Set<String> versions = abandoned.computeIfAbsent(order.service(), any -> new HashSet<>());
    if (replaced != null && !replaced.isCompleted()) {
      versions.add(replaced.order().version());
    }
    versions.remove(order.version());
  }

  /**
   * Takes in all rows.
   *
   * @param storeMillis the store's clock when it was read
   * @param provenAt when the question was sent that the store answered
   */
  public void updateRecords(List<RolloutRecord> rows, long storeMillis, long provenAt) {
    reading = Optional.of(new Reading(storeMillis, provenAt));
    for (RolloutRecord row : rows) {
      records.put(row.service(), row);
    }
    rollouts.keySet().forEach(this::learnRecord);
  }

  private void learnRecord(ServiceName service) {
    Rollout rollout = rollouts.get(service);
    RolloutRecord row = records.get(service);
    if (row == null || reading.isEmpty() || !row.follows(rollout.order())) {
      return;
    }
    Optional<RolloutState> before = rollout.record().map(RolloutRecord::state);
    rollout.updateRecord(row, reading.get().offset(), reading.get().provenAt());
    Optional<RolloutState> after = rollout.record().map(RolloutRecord::state);
    if (!before.equals(after)) {
      context.note(
          EventCode.ROLLOUT_STATE,
          service.value(),
          "version=" + row.version() + " state=" + after.orElseThrow() + " " + inputs(rollout));
      writeAt.remove(service);
    }
  }

  /** Returns which versions a new request may go to; some are drawn for the new one. */
  public VersionRule ruleForNewRequest(ServiceName service, String route) {
    Rollout rollout = rollouts.get(service);
    if (rollout != null && rollout.isRunning()) {
      RouteTraffic traffic = RouteTraffic.of(route, evidence(rollout));
      double share = rollout.newVersionRatio(context.knowledgeTime(), traffic);
      if (share > 0 && share < 1 && rollout.sample(route, share)) {
        return VersionRule.only(rollout.order().version());
      }
    }
    return rule(service);
  }

  /** Returns which versions repeats, continuations and copies may go to. */
  public VersionRule rule(ServiceName service) {
    Set<String> heldBack = new HashSet<>(versions.unapproved(service));
    heldBack.addAll(abandoned.getOrDefault(service, Set.of()));
    Rollout rollout = rollouts.get(service);
    if (rollout == null) {
      return VersionRule.except(heldBack);
    }
    boolean alone = versions.isOnlyListed(service, rollout.order().version());
    return rollout.rule(context.knowledgeTime(), heldBack, alone);
  }

  /**
   * Returns whether a target may be sent a request.
   *
   * @param fresh whether the request ran nowhere yet, so that it may try out a new version
   */
  public boolean maySend(ServiceName service, TargetState target, boolean fresh) {
    Rollout rollout = rollouts.get(service);
    String version = target.description().version();
    boolean triedOut =
        fresh && rollout != null && rollout.isTryingOut(version, context.knowledgeTime());
    return triedOut || rule(service).admits(target);
  }

  /** Counts a request that is sent to a target of a version. */
  public void recordSent(ServiceName service, String route, String version) {
    counted(service, route, version, Signal.SENT).ifPresent(book::recordSent);
  }

  /** Counts an answer of a target. */
  public void recordResponse(
      ServiceName service,
      String route,
      String version,
      Signal signal,
      double millis,
      boolean failed) {
    counted(service, route, version, signal)
        .ifPresent(key -> book.recordResponse(key, millis, failed, usual(key)));
  }

  /** Counts an answer that did not come for a time and was given up. */
  public void recordAbandoned(
      ServiceName service, String route, String version, Signal signal, double millis) {
    counted(service, route, version, signal)
        .ifPresent(key -> book.recordAbandoned(key, millis, usual(key)));
  }

  private Optional<EvidenceKey> counted(
      ServiceName service, String route, String version, Signal signal) {
    return Optional.ofNullable(rollouts.get(service))
        .filter(Rollout::isRunning)
        .map(Rollout::order)
        .map(
            order ->
                new EvidenceKey(
                    service, order.revision(), route, signal, version.equals(order.version())));
  }

  private ResponseTally usual(EvidenceKey key) {
    EvidenceKey before = key.withNewVersion(false);
    return book.tallies()
        .getOrDefault(before, ResponseTally.NONE)
        .plus(others.get().getOrDefault(before, ResponseTally.NONE));
  }

  private Map<EvidenceKey, ResponseTally> evidence(Rollout rollout) {
    RolloutOrder order = rollout.order();
    Map<EvidenceKey, ResponseTally> sums = new HashMap<>();
    for (Map<EvidenceKey, ResponseTally> part : List.of(book.tallies(), others.get())) {
      part.forEach(
          (key, tally) -> {
            if (key.service().equals(order.service()) && key.orderRevision() == order.revision()) {
              sums.merge(key, tally, ResponseTally::plus);
            }
          });
    }
    return sums;
  }

  private void tickSoon() {
    if (!ticking) {
      ticking = true;
      context.after(TICK_MILLIS, this::tick);
    }
  }

  private void tick() {
    ticking = false;
    for (Rollout rollout : List.copyOf(rollouts.values())) {
      if (!rollout.isEnded()) {
        tick(rollout);
        tickSoon();
      }
    }
  }

  private void tick(Rollout rollout) {
    VersionVerdict.Kind before = rollout.verdict().kind();
    if (rollout.isRunning()) {
      rollout.evaluate(evidence(rollout), context.knowledgeTime());
    }
    if (rollout.verdict().kind() != before) {
      context.note(
          EventCode.ROLLOUT_JUDGED,
          rollout.order().service().value(),
          "verdict=" + rollout.verdict().kind() + " " + inputs(rollout));
    }
    due(rollout).ifPresent(record -> write(rollout, record));
  }

  private Optional<RolloutRecord> due(Rollout rollout) {
    if (rollout.record().isPresent()) {
      boolean open = openBefore.test(rollout);
      return rollout.nextRecord(context.knowledgeTime(), reader.getAsBoolean(), open);
    }
    if (reading.isEmpty() || !reader.getAsBoolean()) {
      return Optional.empty();
    }
    long startedAt = rollout.knownAt() + reading.get().offset();
    RolloutRecord replaced = records.get(rollout.order().service());
    return Optional.of(
        rollout.initialRecord(startedAt, replaced == null ? 0 : replaced.revision()));
  }

  /** Writes at once if this host reads for others, else a little later if nobody has by then. */
  private void write(Rollout rollout, RolloutRecord record) {
    ServiceName service = rollout.order().service();
    long now = context.knowledgeTime();
    long wait = reader.getAsBoolean() ? 0 : context.random().nextLong(SPREAD_MILLIS);
    long at = writeAt.computeIfAbsent(service, any -> now + wait);
    if (now < at) {
      return;
    }
    writeAt.put(service, now + WRITE_MILLIS);
    context.note(
        EventCode.ROLLOUT_DECIDED,
        service.value(),
        "version=" + record.version() + " state=" + record.state() + " " + inputs(rollout));
    writer.accept(new RolloutWrite(record));
  }

  private static String inputs(Rollout rollout) {
    return "verdict=" + rollout.verdict().kind() + " " + rollout.verdict().reason();
  }

  /** Describes all roll-outs, a line each, for people. */
  public List<String> describe() {
    List<String> lines = new ArrayList<>();
    for (Rollout rollout : rollouts.values()) {
      lines.add(describe(rollout));
      evidence(rollout).forEach((key, tally) -> lines.add(describe(key, tally)));
    }
    return lines;
  }

  private String describe(Rollout rollout) {
    RolloutOrder order = rollout.order();
    String state = rollout.record().map(row -> row.state().name()).orElse("NOT_BEGUN");
    String stage = rollout.isRunning() ? " stage=" + rollout.stage(context.knowledgeTime()) : "";
    return order.service()
        + " version="
        + order.version()
        + " state="
        + state
        + stage
        + " rule="
        + rule(order.service())
        + " "
        + inputs(rollout);
  }

  private static String describe(EvidenceKey key, ResponseTally tally) {
    return "  route=%s signal=%s version=%s answers=%d bad=%d usualMillis=%.0f"
        .formatted(
            key.route(),
            key.signal(),
            key.newVersion() ? "new" : "before",
            tally.responses(),
            tally.bad(),
            tally.meanMillis());
  }
}
