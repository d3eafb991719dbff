package org.gatereel.core.document;

import java.util.Optional;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.internal.TimerQueue;

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
  private TimerQueue.Timer nextQuery;
  private LongConsumer completionListener = startedAt -> {};

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

  /**
   * Sets a listener for the end of each query, which receives the time when the query was sent, by
   * {@link CoreContext#nowIncludingSuspensions}.
   */
  public void setCompletionListener(LongConsumer listener) {
    completionListener = listener;
  }

  /** Sends a query now unless one is open. */
  public void queryNow() {
    if (queryCount > 0 && completedQuery == queryCount) {
      nextQuery.cancel();
      sendQuery();
    }
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
    long ageReference = context.nowIncludingSuspensions();
    queryCount++;
    long number = queryCount;
    context.schedule(
        queryTimeoutMillis,
        () ->
            complete(
                number,
                queriedAt,
                ageReference,
                Optional.of("query did not complete within " + queryTimeoutMillis + " ms")));
    try {
      query.send(ageReference, problem -> complete(number, queriedAt, ageReference, problem));
    } catch (RuntimeException e) {
      complete(number, queriedAt, ageReference, Optional.of("query failed: " + e));
      throw e;
    }
  }

  private void complete(long number, long queriedAt, long ageReference, Optional<String> problem) {
    if (number != queryCount || number == completedQuery) {
      return;
    }
    completedQuery = number;
    problem.ifPresentOrElse(this::onFailure, () -> onSuccess(queriedAt));
    completionListener.accept(ageReference);
  }

  private void onSuccess(long queriedAt) {
    retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
    if (unavailable) {
      unavailable = false;
      context.logEvent(EventCode.PLATFORM_REACHED, dependency, "");
    }
    nextQuery =
        context.schedule(
            Math.max(0, queriedAt + intervalMillis.getAsLong() - context.now()), this::sendQuery);
  }

  private void onFailure(String problem) {
    if (!unavailable) {
      unavailable = true;
      context.logEvent(EventCode.PLATFORM_LOST, dependency, problem);
    }
    nextQuery = context.schedule(retryDelayMillis, this::sendQuery);
    retryDelayMillis = Math.min(intervalMillis.getAsLong(), retryDelayMillis * 2);
  }
}
