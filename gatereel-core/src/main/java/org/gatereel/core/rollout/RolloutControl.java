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
  private final KnownVersions versions = new KnownVersions();
  private final EvidenceBook book = new EvidenceBook();
  private final Map<ServiceName, Rollout> rollouts = new TreeMap<>(BY_NAME);
  private final Map<ServiceName, RolloutRecord> records = new HashMap<>();
  private final Map<ServiceName, Long> writeAt = new HashMap<>();

  /** Versions of earlier orders that were not completed: nobody vouches for them. */
  private final Map<ServiceName, Set<String>> abandoned = new HashMap<>();

  private Supplier<Map<EvidenceKey, Tally>> others = Map::of;
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
  public void hearOthers(Supplier<Map<EvidenceKey, Tally>> heard) {
    others = heard;
  }

  /**
   * Says who writes rows.
   *
   * @param isReader tells whether this host reads the store for others
   * @param open tells whether requests that cannot move are open at other versions of a service
   * @param write writes a row under its condition; it is asked again while the row is not read
   */
  public void decideBy(
      BooleanSupplier isReader, Predicate<RolloutOrder> open, Consumer<RolloutWrite> write) {
    reader = isReader;
    openBefore = rollout -> open.test(rollout.order());
    writer = write;
  }

  /** Returns what this host counted, to be told to others. */
  public Map<EvidenceKey, Tally> ownEvidence() {
    return Map.copyOf(book.own());
  }

  /** Returns whether rows have to be read: an order is known whose end is not. */
  public boolean needsRecords() {
    return rollouts.values().stream().anyMatch(rollout -> !rollout.isEnded());
  }

  /** Takes in the list of targets that the registry takes in next. */
  public void learnTargets(HostList list) {
    versions.learn(list, context.nowIncludingSuspensions());
  }

  /**
   * Takes in all orders that the operators have given.
   *
   * @param provenAt when the question was sent that the store answered with them
   */
  public void learnOrders(List<RolloutOrder> orders, long provenAt) {
    for (RolloutOrder order : orders) {
      learnOrder(order);
    }
    ordersProvenAt = Math.max(ordersProvenAt, provenAt);
    versions.proved(provenAt);
  }

  /** Notes that the operators' documents still were as known at a time. */
  public void confirmOrders(long provenAt) {
    ordersProvenAt = Math.max(ordersProvenAt, provenAt);
    versions.proved(provenAt);
  }

  private void learnOrder(RolloutOrder order) {
    Rollout known = rollouts.get(order.service());
    if (known != null && known.order().revision() >= order.revision()) {
      return;
    }
    abandon(known, order);
    long notBefore =
        Math.max(ordersProvenAt, context.nowIncludingSuspensions() - order.durationMillis());
    rollouts.put(order.service(), new Rollout(bounds, context.random(), order, notBefore));
    book.keepOnly(order.service(), order.revision());
    context.logEvent(
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
  public void learnRecords(List<RolloutRecord> rows, long storeMillis, long provenAt) {
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
    rollout.learn(row, reading.get().offset(), reading.get().provenAt());
    Optional<RolloutState> after = rollout.record().map(RolloutRecord::state);
    if (!before.equals(after)) {
      context.logEvent(
          EventCode.ROLLOUT_STATE,
          service.value(),
          "version=" + row.version() + " state=" + after.orElseThrow() + " " + inputs(rollout));
      writeAt.remove(service);
    }
  }

  /** Returns which versions a new request may go to; some are drawn for the new one. */
  public VersionRule ruleForNew(ServiceName service, String route) {
    Rollout rollout = rollouts.get(service);
    if (rollout != null && rollout.isRunning()) {
      RouteTraffic traffic = RouteTraffic.of(route, evidence(rollout));
      double share = rollout.share(context.nowIncludingSuspensions(), traffic);
      if (share > 0 && share < 1 && rollout.draw(route, share)) {
        return VersionRule.only(rollout.order().version());
      }
    }
    return rule(service);
  }

  /** Returns which versions repeats, continuations and copies may go to. */
  public VersionRule rule(ServiceName service) {
    Set<String> heldBack = new HashSet<>(versions.heldBack(service));
    heldBack.addAll(abandoned.getOrDefault(service, Set.of()));
    Rollout rollout = rollouts.get(service);
    if (rollout == null) {
      return VersionRule.except(heldBack);
    }
    boolean alone = versions.isOnly(service, rollout.order().version());
    return rollout.rule(context.nowIncludingSuspensions(), heldBack, alone);
  }

  /**
   * Returns whether a target may be sent a request.
   *
   * @param fresh whether the request ran nowhere yet, so that it may try out a new version
   */
  public boolean mayHave(ServiceName service, TargetState target, boolean fresh) {
    Rollout rollout = rollouts.get(service);
    String version = target.description().version();
    boolean triedOut =
        fresh && rollout != null && rollout.triesOut(version, context.nowIncludingSuspensions());
    return triedOut || rule(service).admits(target);
  }

  /** Counts a request that is sent to a target of a version. */
  public void sent(ServiceName service, String route, String version) {
    counted(service, route, version, Signal.SENT).ifPresent(book::sent);
  }

  /** Counts an answer of a target. */
  public void answered(
      ServiceName service,
      String route,
      String version,
      Signal signal,
      double millis,
      boolean failed) {
    counted(service, route, version, signal)
        .ifPresent(key -> book.answered(key, millis, failed, usual(key)));
  }

  /** Counts an answer that did not come for a time and was given up. */
  public void givenUp(
      ServiceName service, String route, String version, Signal signal, double millis) {
    counted(service, route, version, signal)
        .ifPresent(key -> book.givenUp(key, millis, usual(key)));
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

  private Tally usual(EvidenceKey key) {
    EvidenceKey before = key.of(false);
    return book.own()
        .getOrDefault(before, Tally.NONE)
        .plus(others.get().getOrDefault(before, Tally.NONE));
  }

  private Map<EvidenceKey, Tally> evidence(Rollout rollout) {
    RolloutOrder order = rollout.order();
    Map<EvidenceKey, Tally> sums = new HashMap<>();
    for (Map<EvidenceKey, Tally> part : List.of(book.own(), others.get())) {
      part.forEach(
          (key, tally) -> {
            if (key.service().equals(order.service()) && key.orderRevision() == order.revision()) {
              sums.merge(key, tally, Tally::plus);
            }
          });
    }
    return sums;
  }

  private void tickSoon() {
    if (!ticking) {
      ticking = true;
      context.schedule(TICK_MILLIS, this::tick);
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
    Verdict.Kind before = rollout.verdict().kind();
    if (rollout.isRunning()) {
      rollout.judge(evidence(rollout), context.nowIncludingSuspensions());
    }
    if (rollout.verdict().kind() != before) {
      context.logEvent(
          EventCode.ROLLOUT_JUDGED,
          rollout.order().service().value(),
          "verdict=" + rollout.verdict().kind() + " " + inputs(rollout));
    }
    due(rollout).ifPresent(record -> write(rollout, record));
  }

  private Optional<RolloutRecord> due(Rollout rollout) {
    if (rollout.record().isPresent()) {
      boolean open = openBefore.test(rollout);
      return rollout.due(context.nowIncludingSuspensions(), reader.getAsBoolean(), open);
    }
    if (reading.isEmpty() || !reader.getAsBoolean()) {
      return Optional.empty();
    }
    long startedAt = rollout.knownAt() + reading.get().offset();
    RolloutRecord replaced = records.get(rollout.order().service());
    return Optional.of(rollout.first(startedAt, replaced == null ? 0 : replaced.revision()));
  }

  /** Writes at once if this host reads for others, else a little later if nobody has by then. */
  private void write(Rollout rollout, RolloutRecord record) {
    ServiceName service = rollout.order().service();
    long now = context.nowIncludingSuspensions();
    long wait = reader.getAsBoolean() ? 0 : context.random().nextLong(SPREAD_MILLIS);
    long at = writeAt.computeIfAbsent(service, any -> now + wait);
    if (now < at) {
      return;
    }
    writeAt.put(service, now + WRITE_MILLIS);
    context.logEvent(
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
    String stage =
        rollout.isRunning() ? " stage=" + rollout.stage(context.nowIncludingSuspensions()) : "";
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

  private static String describe(EvidenceKey key, Tally tally) {
    return "  route=%s signal=%s version=%s answers=%d bad=%d usualMillis=%.0f"
        .formatted(
            key.route(),
            key.signal(),
            key.fresh() ? "new" : "before",
            tally.answers(),
            tally.bad(),
            tally.usualMillis());
  }
}
