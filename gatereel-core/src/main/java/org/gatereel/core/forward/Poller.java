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
  private static final long FIRST_RETRY_MILLIS = 200;

  /** Questions have time-outs of their own; one that is never settled must not be the last. */
  private static final long LONGEST_QUESTION_MILLIS = 6_000;

  private final CoreContext context;
  private final String dependency;
  private final LongSupplier intervalMillis;
  private final Question question;
  private long retryMillis = FIRST_RETRY_MILLIS;
  private long asked;
  private long settled;
  private boolean lost;
  private boolean stopped;

  /** Puts the question. */
  public interface Question {
    /**
     * Asks; {@code askedAt} is the present time, by which the answer's age will be taken. The reply
     * is called exactly once, later.
     */
    void ask(long askedAt, Reply reply);
  }

  /** Takes what came of a question. */
  public interface Reply {
    /** Takes the problem that made the answer useless, or nothing if it was taken in. */
    void settled(Optional<String> problem);
  }

  /**
   * Makes a poller.
   *
   * @param intervalMillis tells how long after a question the next one is due
   */
  public Poller(
      CoreContext context, String dependency, LongSupplier intervalMillis, Question question) {
    this.context = context;
    this.dependency = dependency;
    this.intervalMillis = intervalMillis;
    this.question = question;
  }

  /** Asks for the first time now. */
  public void start() {
    ask();
  }

  /** Asks no more. */
  public void stop() {
    stopped = true;
  }

  private void ask() {
    if (stopped) {
      return;
    }
    long askedAt = context.now();
    asked++;
    long number = asked;
    context.schedule(
        LONGEST_QUESTION_MILLIS, () -> settle(number, askedAt, Optional.of("never settled")));
    question.ask(context.nowIncludingSuspensions(), problem -> settle(number, askedAt, problem));
  }

  private void settle(long number, long askedAt, Optional<String> problem) {
    if (number != asked || number == settled) {
      return;
    }
    settled = number;
    if (problem.isPresent()) {
      failed(problem.get());
      return;
    }
    retryMillis = FIRST_RETRY_MILLIS;
    if (lost) {
      lost = false;
      context.logEvent(EventCode.PLATFORM_REACHED, dependency, "");
    }
    context.schedule(Math.max(0, askedAt + intervalMillis.getAsLong() - context.now()), this::ask);
  }

  private void failed(String problem) {
    if (!lost) {
      lost = true;
      context.logEvent(EventCode.PLATFORM_LOST, dependency, problem);
    }
    context.schedule(retryMillis, this::ask);
    retryMillis = Math.min(intervalMillis.getAsLong(), retryMillis * 2);
  }
}
