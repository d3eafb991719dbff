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
 * The facts that targets have announced, to this host or to others that reported them.
 *
 * <p>Facts are exchanged with times of the steady clock, but stored with times of the clock that
 * includes suspensions of this host. Otherwise a fact from before a suspension would seem newer
 * than facts that other hosts received meanwhile.
 */
public final class TargetFacts implements GossipFacts<TargetFact> {
  private static final long CLEANUP_INTERVAL_MILLIS = 60_000;

  /** Bounds the log lines for a target that changes its announcement with each response. */
  private static final long MIN_LOG_INTERVAL_MILLIS = 1_000;

  private final CoreContext context;
  private final Predicate<TargetId> isListed;
  private final Map<FactKind, Map<TargetId, Entry>> entries = new EnumMap<>(FactKind.class);
  private final TreeMap<Long, TargetFact> numbered = new TreeMap<>();
  private final List<Consumer<TargetFact>> listeners = new ArrayList<>();
  private long lastNumber;
  private boolean cleanupScheduled;

  /** The latest fact of one kind about one incarnation of a target. */
  private static final class Entry {
    /** With times of the clock that includes suspensions. */
    private TargetFact fact;

    private long number;
    private long loggedAt = Long.MIN_VALUE / 2;
  }

  private enum Source {
    TARGET,
    OTHER_HOST
  }

  /**
   * Makes an empty set of facts.
   *
   * @param isListed tests whether an incarnation of a target is in the target list
   */
  public TargetFacts(CoreContext context, Predicate<TargetId> isListed) {
    this.context = context;
    this.isListed = isListed;
    for (FactKind kind : FactKind.values()) {
      entries.put(kind, new HashMap<>());
    }
  }

  /** Registers a listener that is called with each new or changed fact. */
  public void onChange(Consumer<TargetFact> listener) {
    listeners.add(listener);
  }

  public boolean isEmpty(FactKind kind) {
    return entries.get(kind).isEmpty();
  }

  public Optional<TargetFact> find(FactKind kind, TargetId target) {
    return Optional.ofNullable(entries.get(kind).get(target))
        .map(entry -> toSteadyClock(entry.fact));
  }

  public Stream<TargetFact> all(FactKind kind) {
    return entries.get(kind).values().stream().map(entry -> toSteadyClock(entry.fact));
  }

  /** Stores a fact that a target announced to this host; it replaces the known one. */
  public void observe(TargetFact fact) {
    store(toSuspendAwareClock(fact), Source.TARGET);
  }

  @Override
  public void merge(List<TargetFact> reported) {
    for (TargetFact fact : reported) {
      Entry known = entries.get(fact.kind()).get(fact.target());
      TargetFact localFact = toSuspendAwareClock(fact);
      if (known == null || localFact.supersedes(known.fact)) {
        store(localFact, Source.OTHER_HOST);
      }
    }
  }

  private TargetFact toSuspendAwareClock(TargetFact fact) {
    return fact.shiftedBy(context.nowIncludingSuspensions() - context.now());
  }

  private TargetFact toSteadyClock(TargetFact fact) {
    return fact.shiftedBy(context.now() - context.nowIncludingSuspensions());
  }

  private void store(TargetFact fact, Source source) {
    Entry entry = entries.get(fact.kind()).computeIfAbsent(fact.target(), any -> new Entry());
    TargetFact previous = entry.fact;
    if (previous != null && previous.subsumes(fact)) {
      return;
    }
    entry.fact = fact;
    numbered.remove(entry.number);
    entry.number = ++lastNumber;
    numbered.put(lastNumber, fact);
    log(previous, entry, source);
    TargetFact change = toSteadyClock(fact);
    listeners.forEach(listener -> listener.accept(change));
    scheduleCleanup();
  }

  private void log(TargetFact previous, Entry entry, Source source) {
    if (context.now() - entry.loggedAt < MIN_LOG_INTERVAL_MILLIS) {
      return;
    }
    entry.loggedAt = context.now();
    TargetFact fact = entry.fact;
    context.logEvent(
        fact.kind().code(),
        fact.target().toString(),
        fact.kind().logKey()
            + "="
            + fact.valueText()
            + " before="
            + (previous == null ? "-" : previous.valueText())
            + " source="
            + source
            + " ageMillis="
            + (context.nowIncludingSuspensions() - fact.announcedAt())
            + " known="
            + entries.get(fact.kind()).size());
  }

  @Override
  public List<Numbered<TargetFact>> after(long known, int maxCount) {
    return numbered.tailMap(known, false).entrySet().stream()
        .limit(maxCount)
        .map(entry -> new Numbered<>(entry.getKey(), toSteadyClock(entry.getValue())))
        .toList();
  }

  private void scheduleCleanup() {
    if (!cleanupScheduled) {
      cleanupScheduled = true;
      context.schedule(CLEANUP_INTERVAL_MILLIS, this::cleanUp);
    }
  }

  private void cleanUp() {
    cleanupScheduled = false;
    entries.values().forEach(known -> known.values().removeIf(this::removeIfExpired));
    if (!numbered.isEmpty()) {
      scheduleCleanup();
    }
  }

  /**
   * Tests whether an entry has expired and removes its number. A recent fact is kept, because it
   * may arrive before the list that names its target.
   */
  private boolean removeIfExpired(Entry entry) {
    TargetFact fact = entry.fact;
    long expiredBefore = context.nowIncludingSuspensions() - fact.kind().retentionMillis();
    boolean expired = !isListed.test(fact.target()) && fact.announcedAt() < expiredBefore;
    if (expired) {
      numbered.remove(entry.number);
    }
    return expired;
  }
}
