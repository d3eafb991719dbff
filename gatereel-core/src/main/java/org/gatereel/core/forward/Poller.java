package org.gatereel.core.forward;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;

/**
 * Asks a dependency the same question again and again, and says when it is lost and regained.
 *
 * <p>One question is open at a time. After a failure the next one follows sooner than usual, and
 * later with each further failure up to the usual interval, since refused questions cost as much as
 * others.
 */
public final class Poller {
  private static final long MIN_RETRY_DELAY_MILLIS = 200;

  /** Questions have time-outs of their own; one that is never settled must not be the last. */
  private static final long QUERY_TIMEOUT_MILLIS = 6_000;

  private final CoreContext context;
  private final String dependency;
  private final LongSupplier intervalMillis;
  private final Query query;
  private long retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
  private long queryCount;
  private long completedQuery;
  private boolean unavailable;
  private boolean stopped;

  /** Puts the question. */
  public interface Query {
    /**
     * Asks; {@code askedAt} is the present time, by which the answer's age will be taken. The reply
     * is called exactly once, later.
     */
    void send(long askedAt, Completion reply);
  }

  /** Takes what came of a question. */
  public interface Completion {
    /** Takes the problem that made the answer useless, or nothing if it was taken in. */
    void complete(Optional<String> problem);
  }

  /**
   * Makes a poller.
   *
   * @param intervalMillis tells how long after a question the next one is due
   */
  public Poller(
      CoreContext context, String dependency, LongSupplier intervalMillis, Query question) {
    this.context = context;
    this.dependency = dependency;
    this.intervalMillis = intervalMillis;
    this.query = question;
  }

  /** Asks for the first time now. */
  public void start() {
    sendQuery();
  }

  /** Asks no more. */
  public void stop() {
    stopped = true;
  }

  private void sendQuery() {
    if (stopped) {
      return;
    }
    long askedAt = context.now();
    queryCount++;
    long number = queryCount;
    context.after(
        QUERY_TIMEOUT_MILLIS, () -> complete(number, askedAt, Optional.of("never settled")));
    query.send(context.knowledgeTime(), problem -> complete(number, askedAt, problem));
  }

  private void complete(long number, long askedAt, Optional<String> problem) {
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
      context.note(EventCode.PLATFORM_REACHED, dependency, "");
    }
    context.after(
        Math.max(0, askedAt + intervalMillis.getAsLong() - context.now()), this::sendQuery);
  }

  private void onFailure(String problem) {
    if (!unavailable) {
      unavailable = true;
      context.note(EventCode.PLATFORM_LOST, dependency, problem);
    }
    context.after(retryDelayMillis, this::sendQuery);
    retryDelayMillis = Math.min(intervalMillis.getAsLong(), retryDelayMillis * 2);
  }
}
