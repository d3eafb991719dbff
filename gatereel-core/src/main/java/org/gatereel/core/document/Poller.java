package org.gatereel.core.document;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;

/**
 * Queries a dependency repeatedly, and logs when it becomes unavailable and available again.
 *
 * <p>At most one query is open at a time. Retries after a failure start with a short delay that
 * doubles up to the usual interval.
 */
public final class Poller {
  private static final long MIN_RETRY_DELAY_MILLIS = 200;

  private final CoreContext context;
  private final String dependency;
  private final LongSupplier intervalMillis;
  private final long queryTimeoutMillis;
  private final Query query;
  private long retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
  private long queryCount;
  private long completedQuery;
  private boolean unavailable;
  private boolean stopped;

  /** Sends one query. */
  public interface Query {
    /**
     * Sends the query and calls {@code completion} exactly once, later. A query that throws has
     * failed.
     *
     * @param queriedAt the current time, to which the response's age refers
     */
    void send(long queriedAt, Completion completion);
  }

  /** Receives the result of a query. */
  public interface Completion {
    /** Completes the query; {@code problem} is empty if the response was accepted. */
    void complete(Optional<String> problem);
  }

  /**
   * Creates a poller.
   *
   * @param intervalMillis returns the interval from the start of one query to the next
   * @param queryTimeoutMillis the time after which a query that has not completed has failed
   */
  public Poller(
      CoreContext context,
      String dependency,
      LongSupplier intervalMillis,
      long queryTimeoutMillis,
      Query query) {
    this.context = context;
    this.dependency = dependency;
    this.intervalMillis = intervalMillis;
    this.queryTimeoutMillis = queryTimeoutMillis;
    this.query = query;
  }

  /** Sends the first query. */
  public void start() {
    sendQuery();
  }

  /** Stops after the query that is open, if any. */
  public void stop() {
    stopped = true;
  }

  private void sendQuery() {
    if (stopped) {
      return;
    }
    long queriedAt = context.now();
    queryCount++;
    long number = queryCount;
    context.schedule(
        queryTimeoutMillis,
        () ->
            complete(
                number,
                queriedAt,
                Optional.of("query did not complete within " + queryTimeoutMillis + " ms")));
    try {
      query.send(
          context.nowIncludingSuspensions(), problem -> complete(number, queriedAt, problem));
    } catch (RuntimeException e) {
      complete(number, queriedAt, Optional.of("query failed: " + e));
      throw e;
    }
  }

  private void complete(long number, long queriedAt, Optional<String> problem) {
    if (number != queryCount || number == completedQuery) {
      return;
    }
    completedQuery = number;
    if (problem.isPresent()) {
      onFailure(problem.get());
      return;
    }
    retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
    if (unavailable) {
      unavailable = false;
      context.logEvent(EventCode.PLATFORM_REACHED, dependency, "");
    }
    context.schedule(
        Math.max(0, queriedAt + intervalMillis.getAsLong() - context.now()), this::sendQuery);
  }

  private void onFailure(String problem) {
    if (!unavailable) {
      unavailable = true;
      context.logEvent(EventCode.PLATFORM_LOST, dependency, problem);
    }
    context.schedule(retryDelayMillis, this::sendQuery);
    retryDelayMillis = Math.min(intervalMillis.getAsLong(), retryDelayMillis * 2);
  }
}
