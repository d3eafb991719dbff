package org.gatereel.core.poison;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.internal.GossipFacts;
import org.gatereel.core.internal.SuppressionDelay;

/**
 * Writes facts about poison requests to the store and reads them from it, for hosts that restart or
 * cannot reach each other.
 *
 * <p>Each fact is a row that is only added, so that writers do not conflict and writes can be
 * repeated. The first end of a request is written only once there is a second, since single ends
 * are frequent.
 */
public final class PoisonRecords {
  private static final int MIN_WRITTEN_ENDS = 2;

  /** Below the store's limit of 100 rows per transaction, with room for removed rows. */
  private static final int MAX_ROWS_PER_WRITE = 50;

  /** While the store is unavailable, further facts are not kept for it. */
  private static final int MAX_PENDING_FACTS = 500;

  private static final long INITIAL_BACKOFF_MILLIS = 500;
  private static final long MAX_BACKOFF_MILLIS = 8_000;

  private final CoreContext context;
  private final PoisonControl control;
  private final BooleanSupplier isReader;
  private final Writer writer;
  private final LostFacts lostFacts = new LostFacts();
  private final Set<PoisonFact> pending = new LinkedHashSet<>();
  private final Set<Fingerprint> recorded = new LinkedHashSet<>();
  private long backoffMillis = INITIAL_BACKOFF_MILLIS;
  private long newFactAt = Long.MIN_VALUE;
  private long readAt = Long.MIN_VALUE;
  private long retryAt = Long.MIN_VALUE;
  private boolean writing;

  /** Writes rows into the store. */
  public interface Writer {
    /**
     * Writes facts. {@code done} is called after this method has returned, with whether the store
     * accepted them.
     */
    void write(List<PoisonFact> facts, Consumer<Boolean> done);
  }

  /**
   * Creates records that use the store.
   *
   * @param isReader returns whether this host reads the store for others
   */
  public PoisonRecords(
      CoreContext context, PoisonControl control, BooleanSupplier isReader, Writer writer) {
    this.context = context;
    this.control = control;
    this.isReader = isReader;
    this.writer = writer;
    control.onNewFact(this::onNewFact);
  }

  /**
   * Returns whether the rows must be read: at start, after each end of a request that had another
   * end before, and for a while after the store's return from an older copy. Hosts that cannot be
   * reached may have written facts about it. Reading the rows all the time would add a third to the
   * calls to the store.
   */
  public boolean needsReading() {
    return readAt == Long.MIN_VALUE
        || newFactAt >= readAt
        || lostFacts.needsReading(readAt, context.nowIncludingSuspensions());
  }

  /**
   * Merges all rows of the store.
   *
   * @param provenAt when the request that returned them was sent to the store
   */
  public void onRowsRead(List<PoisonFact> rows, long provenAt) {
    readAt = Math.max(readAt, provenAt);
    rows.forEach(row -> recorded.add(row.request()));
    control.learn(rows, PoisonControl.Source.STORE);
    findLost(rows, provenAt);
  }

  /**
   * Records that the store has returned from an older copy, which may lack facts that were written.
   */
  public void recordStoreReturn() {
    lostFacts.recordStoreReturn(context.nowIncludingSuspensions());
  }

  private void findLost(List<PoisonFact> rows, long provenAt) {
    long now = context.nowIncludingSuspensions();
    long delayMillis = isReader.getAsBoolean() ? 0 : SuppressionDelay.next(context.random());
    boolean isDue = !writing && lostFacts.update(knownToStore(), rows, provenAt, now, delayMillis);
    if (isDue) {
      context.schedule(delayMillis, this::writeLost);
    }
  }

  /** Returns the facts that hosts write, whichever host has observed them. */
  private List<PoisonFact> knownToStore() {
    return control.after(0, Integer.MAX_VALUE).stream()
        .map(GossipFacts.Numbered::fact)
        .filter(fact -> fact.isClearing() || control.endCount(fact.request()) >= MIN_WRITTEN_ENDS)
        .toList();
  }

  private void writeLost() {
    List<PoisonFact> facts = lostFacts.takeDue(context.nowIncludingSuspensions());
    if (!facts.isEmpty()) {
      context.logEvent(
          EventCode.POISON_ROWS_LOST,
          "store",
          "facts=" + facts.size() + " reader=" + isReader.getAsBoolean());
      add(facts);
    }
  }

  private void onNewFact(PoisonFact fact, PoisonControl.Source source) {
    boolean enoughEnds = control.endCount(fact.request()) >= MIN_WRITTEN_ENDS;
    if (enoughEnds && source != PoisonControl.Source.STORE) {
      newFactAt = context.nowIncludingSuspensions();
    }
    if (source != PoisonControl.Source.HERE) {
      return;
    }
    if (fact.isClearing()) {
      if (recorded.contains(fact.request())) {
        add(List.of(fact));
      }
    } else if (enoughEnds) {
      recorded.add(fact.request());
      add(control.factsOf(fact.request()));
    }
  }

  private void add(List<PoisonFact> facts) {
    facts.stream().limit(Math.max(0, MAX_PENDING_FACTS - pending.size())).forEach(pending::add);
    write();
  }

  private void write() {
    if (writing || pending.isEmpty() || context.now() < retryAt) {
      return;
    }
    writing = true;
    List<PoisonFact> facts = pending.stream().limit(MAX_ROWS_PER_WRITE).toList();
    writer.write(facts, accepted -> onWritten(facts, accepted));
  }

  private void onWritten(List<PoisonFact> facts, boolean accepted) {
    writing = false;
    if (accepted) {
      facts.forEach(pending::remove);
      lostFacts.recordWritten(context.nowIncludingSuspensions());
      backoffMillis = INITIAL_BACKOFF_MILLIS;
      write();
    } else {
      retryAt = context.now() + backoffMillis;
      context.schedule(backoffMillis, this::write);
      backoffMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * backoffMillis);
    }
  }
}
