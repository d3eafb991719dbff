package org.gatereel.core.poison;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.internal.GossipFacts;
import org.gatereel.core.model.TargetId;

/**
 * Quarantines requests, and parts of prompts, under which targets crash repeatedly.
 *
 * <p>Hosts share their observations, and each decides on its own.
 */
public final class PoisonControl implements GossipFacts<PoisonFact> {
  private static final long EXPIRE_INTERVAL_MILLIS = 60_000;

  /** One end less than is needed for quarantine. */
  private static final int NEAR_QUARANTINE_END_COUNT = PoisonLedger.QUARANTINE_END_COUNT - 1;

  private static final int NEAR_PART_QUARANTINE_END_COUNT =
      PoisonLedger.PART_QUARANTINE_END_COUNT - 1;

  private final CoreContext context;
  private final PoisonLedger ledger = new PoisonLedger();
  private final RecentSuccesses requestSuccesses = new RecentSuccesses();
  private final RecentSuccesses partSuccesses = new RecentSuccesses();
  private final List<BiConsumer<PoisonFact, Source>> factListeners = new ArrayList<>();
  private final List<BiConsumer<Fingerprint, Source>> quarantineListeners = new ArrayList<>();
  private boolean expiryScheduled;

  /** The origin of a fact. */
  public enum Source {
    /** Observed by this host. */
    HERE,
    /** Reported by another host. */
    OTHER_HOST,
    /** Read from the platform's store. */
    STORE
  }

  public PoisonControl(CoreContext context) {
    this.context = context;
  }

  /** Adds a listener that is called with each new fact, after the fact was evaluated. */
  public void onNewFact(BiConsumer<PoisonFact, Source> listener) {
    factListeners.add(listener);
  }

  /**
   * Adds a listener that is called once for each feature that is quarantined, with the source of
   * the last fact.
   */
  public void onQuarantined(BiConsumer<Fingerprint, Source> listener) {
    quarantineListeners.add(listener);
  }

  /** Returns the feature for which a request must not be sent to any target, if there is one. */
  public Optional<Fingerprint> findQuarantined(RequestFeatures request) {
    return ledger.isEmpty()
        ? Optional.empty()
        : request.all().stream().filter(ledger::isQuarantined).findFirst();
  }

  /**
   * Returns whether one more end may be enough for quarantine. The next attempt of such a request
   * waits until it is known whether the target ended.
   */
  public boolean isNearQuarantine(RequestFeatures request) {
    if (ledger.isEmpty()) {
      return false;
    }
    return ledger.endCount(request.content()) >= NEAR_QUARANTINE_END_COUNT
        || request.parts().stream()
            .anyMatch(part -> ledger.endCount(part) >= NEAR_PART_QUARANTINE_END_COUNT);
  }

  /** Returns how many targets ended during a request. */
  public int endCount(Fingerprint request) {
    return ledger.endCount(request);
  }

  /** Returns the number of quarantined requests. */
  public int quarantinedCount() {
    return ledger.quarantinedCount();
  }

  /** Returns the number of requests during which a target ended and that are not quarantined. */
  public int suspectedCount() {
    return ledger.suspectedCount();
  }

  /**
   * Records that a target ended while it began to execute a request.
   *
   * @param sentAt when the request was sent, in milliseconds
   * @param at when the end was observed, in milliseconds
   */
  public void recordEnd(RequestFeatures request, TargetId target, long sentAt, long at) {
    List<PoisonFact> facts =
        request.all().stream()
            .filter(feature -> !partSuccesses.contains(feature, at))
            .map(feature -> PoisonFact.end(feature, target, sentAt, at))
            .toList();
    learn(withSuccesses(facts), Source.HERE);
  }

  /** Records a successful execution, which outweighs all ends of targets during the request. */
  public void recordSuccess(RequestFeatures request) {
    requestSuccesses.record(request.content(), context.now());
    if (!ledger.isEmpty()) {
      clear(List.of(request.content()));
    }
  }

  /** Records that a target has executed requests with these parts without a fault. */
  public void recordHarmlessParts(RequestFeatures request) {
    request.parts().forEach(part -> partSuccesses.record(part, context.now()));
    if (!ledger.isEmpty()) {
      clear(request.parts());
    }
  }

  private void clear(List<Fingerprint> features) {
    List<PoisonFact> facts =
        features.stream()
            .filter(feature -> ledger.endCount(feature) > 0)
            .map(feature -> PoisonFact.clearing(feature, context.now()))
            .toList();
    learn(facts, Source.HERE);
  }

  /**
   * Adds the successes of this host that came after some ends. The end of a silent target is known
   * only after repeated probes, when the request may have been executed by other targets.
   */
  private List<PoisonFact> withSuccesses(List<PoisonFact> facts) {
    Stream<PoisonFact> clearing =
        facts.stream()
            .filter(fact -> !fact.isClearing() && !fact.request().isPart())
            .filter(fact -> requestSuccesses.isSince(fact.request(), fact.sentAt()))
            .map(fact -> PoisonFact.clearing(fact.request(), context.now()));
    return Stream.concat(facts.stream(), clearing).toList();
  }

  @Override
  public List<Numbered<PoisonFact>> after(long number, int maxCount) {
    return ledger.after(number, maxCount);
  }

  @Override
  public List<Numbered<PoisonFact>> after(long number, int maxCount, Priority priority) {
    return ledger.after(number, maxCount, priority);
  }

  @Override
  public void merge(List<PoisonFact> facts) {
    learn(withSuccesses(facts), Source.OTHER_HOST);
    clear(facts.stream().map(PoisonFact::request).filter(this::isHarmless).distinct().toList());
  }

  private boolean isHarmless(Fingerprint feature) {
    return partSuccesses.contains(feature, context.now());
  }

  /** Merges facts; known ones have no effect. */
  void learn(List<PoisonFact> facts, Source source) {
    List<PoisonFact> newFacts = facts.stream().filter(ledger::add).toList();
    if (!newFacts.isEmpty()) {
      evaluate(newFacts, source);
    }
  }

  /** Returns the facts known about one request. */
  List<PoisonFact> factsOf(Fingerprint request) {
    return ledger.factsOf(request);
  }

  /** Evaluates all new facts together, since one may invalidate another. */
  private void evaluate(List<PoisonFact> newFacts, Source source) {
    scheduleExpiry();
    newFacts.forEach(fact -> log(fact, source));
    boolean evaluationNeeded = newFacts.stream().anyMatch(this::mayCauseQuarantine);
    List<Fingerprint> quarantined = evaluationNeeded ? ledger.quarantineDue() : List.of();
    newFacts.forEach(fact -> factListeners.forEach(listener -> listener.accept(fact, source)));
    quarantined.forEach(feature -> announceQuarantine(feature, source));
  }

  /**
   * Returns whether any request may have to be quarantined after a fact: its own, which has enough
   * ends, or another one that shared ends with a request that is now cleared.
   */
  private boolean mayCauseQuarantine(PoisonFact fact) {
    return fact.isClearing()
        || ledger.endCount(fact.request()) >= PoisonLedger.QUARANTINE_END_COUNT;
  }

  /**
   * Logs a fact; the first end of a request is logged only by the host that observed it. Nearly all
   * first ends have other causes, and each would be a line at every host.
   */
  private void log(PoisonFact fact, Source source) {
    if (source != Source.HERE && ledger.endCount(fact.request()) < NEAR_QUARANTINE_END_COUNT) {
      return;
    }
    String inputs =
        "ends="
            + ledger.endCount(fact.request())
            + " source="
            + source
            + " ageMillis="
            + (context.now() - fact.at());
    if (fact.isClearing()) {
      context.logEvent(EventCode.POISON_CLEARED, fact.request().toString(), inputs);
    } else {
      context.logEvent(
          EventCode.POISON_SUSPECTED,
          fact.request().toString(),
          "target=" + fact.ended().orElseThrow() + " " + inputs);
    }
  }

  private void announceQuarantine(Fingerprint request, Source source) {
    context.logEvent(
        EventCode.POISON_HELD,
        request.toString(),
        "ends=" + ledger.endCount(request) + " held=" + quarantinedCount());
    quarantineListeners.forEach(listener -> listener.accept(request, source));
  }

  private void scheduleExpiry() {
    if (!expiryScheduled) {
      expiryScheduled = true;
      context.schedule(EXPIRE_INTERVAL_MILLIS, this::expire);
    }
  }

  private void expire() {
    expiryScheduled = false;
    ledger.expire(context.now());
    if (!ledger.isEmpty()) {
      scheduleExpiry();
    }
  }
}
