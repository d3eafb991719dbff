package org.gatereel.core.poison;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.gatereel.core.internal.CoreContext;

/**
 * Has what is known of requests under which targets end outlive all hosts, and reach those that are
 * cut off from the others.
 *
 * <p>Facts are rows of their own, which are only added, so that no two writers are in each other's
 * way and a write whose answer was lost can be repeated. Who has seen an end writes it, once there
 * are two of the same request: of single ones there are many, and nearly all are chance.
 */
public final class PoisonRecords {
  /** Single ends come every few seconds on days of trouble, to all hosts. */
  private static final int ENDS_THAT_ARE_WRITTEN = 2;

  /** A transaction of the store takes 100 rows at the most, and a few are removed with it. */
  private static final int MOST_WRITTEN = 50;

  /** While the store is away no more are kept for it; hosts tell each other all of them. */
  private static final int MOST_WAITING = 500;

  private static final long FIRST_RETRY_MILLIS = 500;
  private static final long LONGEST_RETRY_MILLIS = 8_000;

  private final CoreContext context;
  private final PoisonControl control;
  private final Writer writer;
  private final Set<PoisonFact> waiting = new LinkedHashSet<>();
  private final Set<Fingerprint> recorded = new LinkedHashSet<>();
  private long retryMillis = FIRST_RETRY_MILLIS;
  private long newsAt = Long.MIN_VALUE;
  private long readAt = Long.MIN_VALUE;
  private long retryAt = Long.MIN_VALUE;
  private boolean writing;

  /** Writes rows into the store. */
  public interface Writer {
    /** Writes facts, once each; {@code done} is told later whether the store took them. */
    void write(List<PoisonFact> facts, Consumer<Boolean> done);
  }

  public PoisonRecords(CoreContext context, PoisonControl control, Writer writer) {
    this.context = context;
    this.control = control;
    this.writer = writer;
    control.onNews(this::learnt);
  }

  /**
   * Returns whether the rows have to be read: after a start, and after each further end of a
   * request that had one.
   *
   * <p>What hosts have written that reach nobody else matters here once the request comes here, and
   * then its second end is news. Rows that are read all the time would be a third more calls.
   */
  public boolean needsReading() {
    return readAt == Long.MIN_VALUE || newsAt >= readAt;
  }

  /**
   * Takes in all rows of the store.
   *
   * @param provenAt when the question was sent that the store answered with them
   */
  public void learn(List<PoisonFact> rows, long provenAt) {
    readAt = Math.max(readAt, provenAt);
    rows.forEach(row -> recorded.add(row.request()));
    control.learn(rows, PoisonControl.Source.STORE);
  }

  private void learnt(PoisonFact fact, PoisonControl.Source source) {
    boolean known = control.ends(fact.request()) >= ENDS_THAT_ARE_WRITTEN;
    if (known && source != PoisonControl.Source.STORE) {
      newsAt = context.nowIncludingSuspensions();
    }
    if (source != PoisonControl.Source.HERE) {
      return;
    }
    if (fact.isSound()) {
      if (recorded.contains(fact.request())) {
        add(List.of(fact));
      }
    } else if (known) {
      recorded.add(fact.request());
      add(control.factsOf(fact.request()));
    }
  }

  private void add(List<PoisonFact> facts) {
    if (waiting.size() < MOST_WAITING) {
      waiting.addAll(facts);
    }
    write();
  }

  private void write() {
    if (writing || waiting.isEmpty() || context.now() < retryAt) {
      return;
    }
    writing = true;
    List<PoisonFact> facts = waiting.stream().limit(MOST_WRITTEN).toList();
    writer.write(facts, taken -> written(facts, taken));
  }

  private void written(List<PoisonFact> facts, boolean taken) {
    writing = false;
    if (taken) {
      facts.forEach(waiting::remove);
      retryMillis = FIRST_RETRY_MILLIS;
      write();
    } else {
      retryAt = context.now() + retryMillis;
      context.schedule(retryMillis, this::write);
      retryMillis = Math.min(LONGEST_RETRY_MILLIS, 2 * retryMillis);
    }
  }
}
