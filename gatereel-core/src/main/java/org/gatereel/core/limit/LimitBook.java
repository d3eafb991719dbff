package org.gatereel.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.internal.SharedFacts;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.statement.AnnouncedLimit;
import org.gatereel.core.statement.LimitFact;
import org.gatereel.core.statement.LimitStatement;

/**
 * The limits that targets have named, as far as this host has heard of them from targets or hosts.
 *
 * <p>A limit holds for one run of a target until the target says otherwise. A lower one holds at
 * once. A higher one, or none, holds only if it answers a request that was sent after the present
 * one was known: answers overtake each other, and an older one must not lift it.
 */
public final class LimitBook implements SharedFacts<LimitFact> {
  /**
   * A target that takes nothing for now is asked again each ten seconds, since only its answers
   * tell when it takes more; less than one in a second harms none.
   */
  private static final double LEAST_PER_SECOND = 0.1;

  /** Targets that are listed no more are forgotten so often. */
  private static final long FORGET_MILLIS = 60_000;

  /** A target whose limit changes with each answer fills no log. */
  private static final long LOG_MILLIS = 1_000;

  private final CoreContext context;
  private final Predicate<TargetId> isListed;
  private final Map<TargetId, Entry> entries = new HashMap<>();
  private final TreeMap<Long, LimitFact> facts = new TreeMap<>();
  private final List<Runnable> newsListeners = new ArrayList<>();
  private long number;
  private long unreadableLoggedAt = Long.MIN_VALUE / 2;
  private boolean forgetting;

  /** What is known of one run of a target. */
  private static final class Entry {
    /** With its time on the clock that counts suspensions. */
    private AnnouncedLimit limit;

    private long number;
    private long loggedAt = Long.MIN_VALUE / 2;
  }

  /** Where a limit was heard. */
  private enum Source {
    /** The target told this host. */
    TARGET,
    /** Another host told of it. */
    OTHER_HOST
  }

  /**
   * Makes a book without any limit.
   *
   * @param isListed whether a run of a target is still to be known
   */
  public LimitBook(CoreContext context, Predicate<TargetId> isListed) {
    this.context = context;
    this.isListed = isListed;
  }

  /** Has {@code listener} called whenever a limit is another one than before. */
  public void onNews(Runnable listener) {
    newsListeners.add(listener);
  }

  /** Returns the limit of a target, if it named one and holds to it. */
  public Optional<AnnouncedLimit> find(TargetId target) {
    return Optional.ofNullable(entries.get(target))
        .map(entry -> outward(entry.limit))
        .filter(limit -> !limit.isNone());
  }

  /**
   * Returns how many requests a second a target is sent at the most; infinite if it has named no
   * limit, and never 0, so that admission too lets the request through that asks it again.
   */
  public double perSecond(TargetId target) {
    return entries.isEmpty()
        ? Double.POSITIVE_INFINITY
        : find(target)
            .map(limit -> Math.max(LEAST_PER_SECOND, limit.perSecond()))
            .orElse(Double.POSITIVE_INFINITY);
  }

  /** Returns the targets that have a limit now. */
  public Set<TargetId> limited() {
    return entries.entrySet().stream()
        .filter(known -> !known.getValue().limit.isNone())
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }

  /** Returns how many targets have a limit now. */
  public int size() {
    return (int) entries.values().stream().filter(entry -> !entry.limit.isNone()).count();
  }

  /**
   * Takes in what a target's answer says.
   *
   * @param sentAt when the request was sent that is answered, in milliseconds
   */
  public void hear(TargetId target, LimitStatement statement, long sentAt) {
    if (statement instanceof LimitStatement.PerSecond named) {
      hear(target, named.perSecond(), sentAt);
    } else if (statement instanceof LimitStatement.Unreadable unreadable) {
      noteUnreadable(target, unreadable.text());
    } else if (entries.containsKey(target)) {
      hear(target, Double.POSITIVE_INFINITY, sentAt);
    }
  }

  private void noteUnreadable(TargetId target, String text) {
    if (context.now() - unreadableLoggedAt >= LOG_MILLIS) {
      unreadableLoggedAt = context.now();
      context.note(EventCode.LIMIT_UNREADABLE, target.toString(), "text=" + text);
    }
  }

  private void hear(TargetId target, double perSecond, long sentAt) {
    Entry known = entries.get(target);
    boolean lower = known == null || perSecond < known.limit.perSecond();
    if (lower || sentAt > outward(known.limit).since()) {
      take(target, new AnnouncedLimit(perSecond, context.knowledgeTime()), Source.TARGET);
    }
  }

  @Override
  public void learn(List<LimitFact> told) {
    for (LimitFact fact : told) {
      Entry known = entries.get(fact.target());
      AnnouncedLimit limit = inward(fact.limit());
      if (known == null || limit.replaces(known.limit)) {
        take(fact.target(), limit, Source.OTHER_HOST);
      }
    }
  }

  /**
   * Puts a time of the steady clock on the one that counts suspensions: a word that a host heard
   * before it was suspended must not seem younger than what others heard meanwhile.
   */
  private AnnouncedLimit inward(AnnouncedLimit limit) {
    long lost = context.knowledgeTime() - context.now();
    return new AnnouncedLimit(limit.perSecond(), limit.since() + lost);
  }

  /** Puts a time back on the steady clock, so that its age by that is the true one. */
  private AnnouncedLimit outward(AnnouncedLimit limit) {
    long lost = context.knowledgeTime() - context.now();
    return new AnnouncedLimit(limit.perSecond(), limit.since() - lost);
  }

  private void take(TargetId target, AnnouncedLimit limit, Source source) {
    Entry entry = entries.computeIfAbsent(target, any -> new Entry());
    AnnouncedLimit before = entry.limit;
    if (before != null && before.perSecond() == limit.perSecond()) {
      return;
    }
    entry.limit = limit;
    facts.remove(entry.number);
    entry.number = ++number;
    facts.put(number, new LimitFact(target, limit));
    note(target, before, entry, source);
    newsListeners.forEach(Runnable::run);
    forgetLater();
  }

  private void note(TargetId target, AnnouncedLimit before, Entry entry, Source source) {
    if (context.now() - entry.loggedAt < LOG_MILLIS) {
      return;
    }
    entry.loggedAt = context.now();
    context.note(
        EventCode.LIMIT_ANNOUNCED,
        target.toString(),
        "perSecond="
            + text(entry.limit)
            + " before="
            + (before == null ? "-" : text(before))
            + " source="
            + source
            + " ageMillis="
            + (context.knowledgeTime() - entry.limit.since())
            + " limits="
            + size());
  }

  private static String text(AnnouncedLimit limit) {
    return limit.isNone() ? "-" : String.format(Locale.ROOT, "%.3f", limit.perSecond());
  }

  @Override
  public List<Numbered<LimitFact>> after(long known, int most) {
    return facts.tailMap(known, false).entrySet().stream()
        .limit(most)
        .map(entry -> new Numbered<>(entry.getKey(), outward(entry.getValue())))
        .toList();
  }

  private LimitFact outward(LimitFact fact) {
    return new LimitFact(fact.target(), outward(fact.limit()));
  }

  private void forgetLater() {
    if (!forgetting) {
      forgetting = true;
      context.after(FORGET_MILLIS, this::forget);
    }
  }

  /** A fact may come before the list that names its target, so young ones are kept. */
  private void forget() {
    forgetting = false;
    long before = context.knowledgeTime() - FORGET_MILLIS;
    entries
        .entrySet()
        .removeIf(
            known -> {
              Entry entry = known.getValue();
              boolean over = !isListed.test(known.getKey()) && entry.limit.since() < before;
              if (over) {
                facts.remove(entry.number);
              }
              return over;
            });
    if (!entries.isEmpty()) {
      forgetLater();
    }
  }
}
