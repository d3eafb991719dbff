package org.gatereel.core.poison;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.gatereel.core.internal.CoreContext;

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
  private final Writer writer;
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

  public PoisonRecords(CoreContext context, PoisonControl control, Writer writer) {
    this.context = context;
    this.control = control;
    this.writer = writer;
    control.onNewFact(this::onNewFact);
  }

  /**
   * Returns whether the rows must be read: at start, and after each end of a request that had
   * another end before. Hosts that cannot be reached may have written facts about it. Reading the
   * rows all the time would add a third to the calls to the store.
   */
  public boolean needsReading() {
    return readAt == Long.MIN_VALUE || newFactAt >= readAt;
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
    if (pending.size() < MAX_PENDING_FACTS) {
      pending.addAll(facts);
    }
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
      backoffMillis = INITIAL_BACKOFF_MILLIS;
      write();
    } else {
      retryAt = context.now() + backoffMillis;
      context.schedule(backoffMillis, this::write);
      backoffMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * backoffMillis);
    }
  }
}
