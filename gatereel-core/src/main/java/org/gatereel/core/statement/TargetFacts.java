package org.gatereel.core.statement;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.internal.GossipFacts;
import org.gatereel.core.model.TargetId;

/**
 * What targets have said, as far as this host has heard of it from targets or hosts.
 *
 * <p>Facts travel with the steady clock's times, and are kept by the clock that counts suspensions:
 * a word that a host heard before it was suspended must not seem younger than what others heard
 * meanwhile.
 */
public final class TargetFacts implements GossipFacts<TargetFact> {
  /** Facts of targets that are listed no more are looked through so often. */
  private static final long FORGET_MILLIS = 60_000;

  /** A target that says something else in each answer fills no log. */
  private static final long LOG_MILLIS = 1_000;

  private final CoreContext context;
  private final Predicate<TargetId> isListed;
  private final Map<FactKind, Map<TargetId, Entry>> entries = new EnumMap<>(FactKind.class);
  private final TreeMap<Long, TargetFact> numbered = new TreeMap<>();
  private final List<Consumer<TargetFact>> listeners = new ArrayList<>();
  private long number;
  private boolean forgetting;

  /** What is known of one kind from one run of a target. */
  private static final class Entry {
    /** With its times on the clock that counts suspensions. */
    private TargetFact fact;

    private long number;
    private long loggedAt = Long.MIN_VALUE / 2;
  }

  /** Where a fact was heard. */
  private enum Source {
    /** The target told this host. */
    TARGET,
    /** Another host told of it. */
    OTHER_HOST
  }

  /**
   * Makes a book without any fact.
   *
   * @param isListed whether a run of a target is still to be known
   */
  public TargetFacts(CoreContext context, Predicate<TargetId> isListed) {
    this.context = context;
    this.isListed = isListed;
    for (FactKind kind : FactKind.values()) {
      entries.put(kind, new HashMap<>());
    }
  }

  /** Has {@code listener} told each fact that is news here. */
  public void onNews(Consumer<TargetFact> listener) {
    listeners.add(listener);
  }

  /** Returns whether nothing of a kind is known. */
  public boolean isEmpty(FactKind kind) {
    return entries.get(kind).isEmpty();
  }

  /** Returns what a target has said of a kind. */
  public Optional<TargetFact> find(FactKind kind, TargetId target) {
    return Optional.ofNullable(entries.get(kind).get(target)).map(entry -> outward(entry.fact));
  }

  /** Returns all facts of a kind. */
  public Stream<TargetFact> all(FactKind kind) {
    return entries.get(kind).values().stream().map(entry -> outward(entry.fact));
  }

  /** Takes in what a target told this host, whatever is known of it. */
  public void hear(TargetFact fact) {
    take(inward(fact), Source.TARGET);
  }

  @Override
  public void merge(List<TargetFact> told) {
    for (TargetFact fact : told) {
      Entry known = entries.get(fact.kind()).get(fact.target());
      TargetFact kept = inward(fact);
      if (known == null || kept.replaces(known.fact)) {
        take(kept, Source.OTHER_HOST);
      }
    }
  }

  /** Puts times of the steady clock on the one that counts suspensions. */
  private TargetFact inward(TargetFact fact) {
    return fact.later(context.nowIncludingSuspensions() - context.now());
  }

  /** Puts times back on the steady clock, so that the age by that is the true one. */
  private TargetFact outward(TargetFact fact) {
    return fact.later(context.now() - context.nowIncludingSuspensions());
  }

  private void take(TargetFact fact, Source source) {
    Entry entry = entries.get(fact.kind()).computeIfAbsent(fact.target(), any -> new Entry());
    TargetFact before = entry.fact;
    if (before != null && before.covers(fact)) {
      return;
    }
    entry.fact = fact;
    numbered.remove(entry.number);
    entry.number = ++number;
    numbered.put(number, fact);
    note(before, entry, source);
    TargetFact news = outward(fact);
    listeners.forEach(listener -> listener.accept(news));
    forgetLater();
  }

  private void note(TargetFact before, Entry entry, Source source) {
    if (context.now() - entry.loggedAt < LOG_MILLIS) {
      return;
    }
    entry.loggedAt = context.now();
    TargetFact fact = entry.fact;
    context.logEvent(
        fact.kind().code(),
        fact.target().toString(),
        fact.kind().valueName()
            + "="
            + fact.valueText()
            + " before="
            + (before == null ? "-" : before.valueText())
            + " source="
            + source
            + " ageMillis="
            + (context.nowIncludingSuspensions() - fact.since())
            + " known="
            + entries.get(fact.kind()).size());
  }

  @Override
  public List<Numbered<TargetFact>> after(long known, int most) {
    return numbered.tailMap(known, false).entrySet().stream()
        .limit(most)
        .map(entry -> new Numbered<>(entry.getKey(), outward(entry.getValue())))
        .toList();
  }

  private void forgetLater() {
    if (!forgetting) {
      forgetting = true;
      context.schedule(FORGET_MILLIS, this::forget);
    }
  }

  private void forget() {
    forgetting = false;
    entries.values().forEach(known -> known.values().removeIf(this::isOver));
    if (!numbered.isEmpty()) {
      forgetLater();
    }
  }

  /** A fact may come before the list that names its target, so young ones are kept. */
  private boolean isOver(Entry entry) {
    TargetFact fact = entry.fact;
    long before = context.nowIncludingSuspensions() - fact.kind().keptMillis();
    boolean over = !isListed.test(fact.target()) && fact.since() < before;
    if (over) {
      numbered.remove(entry.number);
    }
    return over;
  }
}
