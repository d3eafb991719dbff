package org.gatereel.core.poison;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.internal.GossipFacts;

/**
 * Keeps requests under which targets end, again and again, from reaching any more of them.
 *
 * <p>What this host sees it tells others, and counts what they tell; the verdict is each host's
 * own. Fingerprints are asked for only while something is known of any request.
 */
public final class PoisonControl implements GossipFacts<PoisonFact> {
  private static final long EXPIRE_MILLIS = 60_000;

  /** From so many ends on the next try waits until it is known whether the target ended. */
  private static final int ENDS_IN_DOUBT = PoisonLedger.ENDS_TO_HOLD - 1;

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
  public void onNews(BiConsumer<PoisonFact, Source> listener) {
    newsListeners.add(listener);
  }

  /** Has {@code listener} called once for each request that is held back from now on. */
  public void onHeld(Consumer<Fingerprint> listener) {
    heldListeners.add(listener);
  }

  /** Returns whether a request must not be sent to any target. */
  public boolean isHeld(Supplier<Fingerprint> request) {
    return !ledger.isEmpty() && ledger.isHeld(request.get());
  }

  /** Returns whether one end more may be enough to hold a request back. */
  public boolean isInDoubt(Supplier<Fingerprint> request) {
    return !ledger.isEmpty() && ledger.ends(request.get()) >= ENDS_IN_DOUBT;
  }

  /** Returns under how many ends of targets a request was. */
  public int ends(Fingerprint request) {
    return ledger.ends(request);
  }

  /** Returns how many requests are held back. */
  public int held() {
    return ledger.held();
  }

  /** Returns how many requests were under an end, and are not held back. */
  public int suspected() {
    return ledger.suspected();
  }

  /** Notes that a target's run ended as a request had begun, or was about to begin, there. */
  public void ended(PoisonFact end) {
    learn(List.of(end), Source.HERE);
  }

  /** Notes that a request has run as it should; it matters only if targets ended under it. */
  public void ranWell(Supplier<Fingerprint> request) {
    if (!ledger.isEmpty() && ledger.ends(request.get()) > 0) {
      learn(List.of(PoisonFact.sound(request.get(), context.now())), Source.HERE);
    }
  }

  @Override
  public List<Numbered<PoisonFact>> after(long number, int most) {
    return ledger.after(number, most);
  }

  @Override
  public void merge(List<PoisonFact> told) {
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
    List<Fingerprint> held = mayConvict ? ledger.judge() : List.of();
    news.forEach(fact -> newsListeners.forEach(listener -> listener.accept(fact, source)));
    held.forEach(this::hold);
  }

  /** An end of a request that has few of them can only speak for others; a cleared one is gone. */
  private boolean mayConvict(PoisonFact fact) {
    return fact.isSound() || ledger.ends(fact.request()) >= PoisonLedger.ENDS_TO_HOLD;
  }

  /**
   * Single ends, nearly all of them chance, are logged by the host that saw them alone: at 95 hosts
   * each would be 95 lines.
   */
  private void note(PoisonFact fact, Source source) {
    if (source != Source.HERE && ledger.ends(fact.request()) < ENDS_IN_DOUBT) {
      return;
    }
    String inputs =
        "ends="
            + ledger.ends(fact.request())
            + " source="
            + source
            + " ageMillis="
            + (context.now() - fact.at());
    if (fact.isSound()) {
      context.logEvent(EventCode.POISON_CLEARED, fact.request().toString(), inputs);
    } else {
      context.logEvent(
          EventCode.POISON_SUSPECTED,
          fact.request().toString(),
          "target=" + fact.ended().orElseThrow() + " " + inputs);
    }
  }

  private void hold(Fingerprint request) {
    context.logEvent(
        EventCode.POISON_HELD,
        request.toString(),
        "ends=" + ledger.ends(request) + " held=" + held());
    heldListeners.forEach(listener -> listener.accept(request));
  }

  private void expireLater() {
    if (!expiring) {
      expiring = true;
      context.schedule(EXPIRE_MILLIS, this::expire);
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
