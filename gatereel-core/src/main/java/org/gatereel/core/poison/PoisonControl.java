package org.gatereel.core.poison;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.internal.SharedFacts;

/**
 * Keeps requests under which targets end, again and again, from reaching any more of them.
 *
 * <p>What this host sees it tells others, and counts what they tell; the verdict is each host's
 * own. Fingerprints are asked for only while something is known of any request.
 */
public final class PoisonControl implements SharedFacts<PoisonFact> {
  private static final long EXPIRE_MILLIS = 60_000;

  /** From so many ends on the next try waits until it is known whether the target ended. */
  private static final int ENDS_IN_DOUBT = PoisonLedger.QUARANTINE_END_COUNT - 1;

  private final CoreContext context;
  private final PoisonLedger ledger = new PoisonLedger();
  private final List<BiConsumer<PoisonFact, Source>> newsListeners = new ArrayList<>();
  private final List<Consumer<Fingerprint>> heldListeners = new ArrayList<>();
  private boolean expiring;

  /** Where a fact comes from. */
  public enum Source {
    /** This host has seen it. */
    HERE,
    /** Another host told of it. */
    OTHER_HOST,
    /** It stands in the platform's store. */
    STORE
  }

  public PoisonControl(CoreContext context) {
    this.context = context;
  }

  /** Has {@code listener} called with each fact that was not known, after it was judged. */
  public void onNewFact(BiConsumer<PoisonFact, Source> listener) {
    newsListeners.add(listener);
  }

  /** Has {@code listener} called once for each request that is held back from now on. */
  public void onQuarantined(Consumer<Fingerprint> listener) {
    heldListeners.add(listener);
  }

  /** Returns whether a request must not be sent to any target. */
  public boolean isQuarantined(Supplier<Fingerprint> request) {
    return !ledger.isEmpty() && ledger.isQuarantined(request.get());
  }

  /** Returns whether one end more may be enough to hold a request back. */
  public boolean isNearQuarantine(Supplier<Fingerprint> request) {
    return !ledger.isEmpty() && ledger.endCount(request.get()) >= ENDS_IN_DOUBT;
  }

  /** Returns under how many ends of targets a request was. */
  public int endCount(Fingerprint request) {
    return ledger.endCount(request);
  }

  /** Returns how many requests are held back. */
  public int quarantinedCount() {
    return ledger.quarantinedCount();
  }

  /** Returns how many requests were under an end, and are not held back. */
  public int suspectedCount() {
    return ledger.suspectedCount();
  }

  /** Notes that a target's run ended as a request had begun, or was about to begin, there. */
  public void recordEnd(PoisonFact end) {
    learn(List.of(end), Source.HERE);
  }

  /** Notes that a request has run as it should; it matters only if targets ended under it. */
  public void recordSuccess(Supplier<Fingerprint> request) {
    if (!ledger.isEmpty() && ledger.endCount(request.get()) > 0) {
      learn(List.of(PoisonFact.clearing(request.get(), context.now())), Source.HERE);
    }
  }

  @Override
  public List<Numbered<PoisonFact>> after(long number, int most) {
    return ledger.after(number, most);
  }

  @Override
  public void learn(List<PoisonFact> told) {
    learn(told, Source.OTHER_HOST);
  }

  /** Takes in facts; what is known already changes nothing. */
  void learn(List<PoisonFact> told, Source source) {
    List<PoisonFact> news = told.stream().filter(ledger::add).toList();
    if (!news.isEmpty()) {
      judge(news, source);
    }
  }

  /** Returns what is known of one request. */
  List<PoisonFact> factsOf(Fingerprint request) {
    return ledger.factsOf(request);
  }

  /** What came together is judged together, since a later fact may excuse an earlier one. */
  private void judge(List<PoisonFact> news, Source source) {
    expireLater();
    news.forEach(fact -> note(fact, source));
    boolean mayConvict = news.stream().anyMatch(this::mayConvict);
    List<Fingerprint> held = mayConvict ? ledger.quarantineDue() : List.of();
    news.forEach(fact -> newsListeners.forEach(listener -> listener.accept(fact, source)));
    held.forEach(this::hold);
  }

  /** An end of a request that has few of them can only speak for others; a cleared one is gone. */
  private boolean mayConvict(PoisonFact fact) {
    return fact.isClearing()
        || ledger.endCount(fact.request()) >= PoisonLedger.QUARANTINE_END_COUNT;
  }

  /**
   * Single ends, nearly all of them chance, are logged by the host that saw them alone: at 95 hosts
   * each would be 95 lines.
   */
  private void note(PoisonFact fact, Source source) {
    if (source != Source.HERE && ledger.endCount(fact.request()) < ENDS_IN_DOUBT) {
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
      context.note(EventCode.POISON_CLEARED, fact.request().toString(), inputs);
    } else {
      context.note(
          EventCode.POISON_SUSPECTED,
          fact.request().toString(),
          "target=" + fact.ended().orElseThrow() + " " + inputs);
    }
  }

  private void hold(Fingerprint request) {
    context.note(
        EventCode.POISON_HELD,
        request.toString(),
        "ends=" + ledger.endCount(request) + " held=" + quarantinedCount());
    heldListeners.forEach(listener -> listener.accept(request));
  }

  private void expireLater() {
    if (!expiring) {
      expiring = true;
      context.after(EXPIRE_MILLIS, this::expire);
    }
  }

  private void expire() {
    expiring = false;
    ledger.expire(context.now());
    if (!ledger.isEmpty()) {
      expireLater();
    }
  }
}
