package org.gatereel.core.document;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.internal.TimerQueue;

/**
 * Whether this host's copies of documents are recent enough to act on.
 *
 * <p>A copy that is older than the bound may be outdated: the host may have stood still since the
 * last refresh. What depends on such a copy waits for the next refresh.
 *
 * <p>A host whose refreshes fail reaches neither the store nor another host, and goes on with the
 * copy that it has. A refresh that failed before a pause says nothing of the time after it. A host
 * whose copy was recent when a pause began is not cut off but late, until a refresh has failed or
 * one bound has passed: what still waits then is refused.
 */
public final class DocumentFreshness {
  /** The rest of the bound is left for what follows a decision. */
  private static final double MAX_AGE_RATIO = 0.9;

  /** A refresh of a younger copy may fail since one of its sources was briefly away. */
  private static final double MIN_AGE_AT_FAILED_REFRESH_RATIO = 0.5;

  /** Above the delay of timers of a host that has not stood still. */
  private static final long MAX_TIMER_DELAY_MILLIS = 200;

  private static final long MAX_WAIT_MILLIS = 500;
  private static final long MIN_WAIT_MILLIS = 10;

  /** Callers with short deadlines must still be served after a wait. */
  private static final double MAX_WAIT_RATIO = 0.25;

  private final CoreContext context;
  private final long boundMillis;
  private final Map<DocumentKind, Supplier<OptionalLong>> ages = new EnumMap<>(DocumentKind.class);
  private final Map<DocumentKind, Failure> failures = new EnumMap<>(DocumentKind.class);
  private final List<Waiter> waiters = new ArrayList<>();
  private Runnable refresh = () -> {};
  private long refreshTimeoutMillis;
  private Predicate<DocumentKind> openReads = kind -> false;
  private long waitingSince;
  private long pausedMillisAtLastRefusal;

  /** The last refresh that failed, and for how long this host had stood still by then. */
  private record Failure(long at, long pausedMillis) {}

  /** A step that waits, and the timer that ends its wait. */
  private static final class Waiter {
    private final DocumentKind kind;
    private final long maxWaitMillis;
    private final Runnable step;
    private final Runnable refusal;
    private TimerQueue.Timer timeout;

    private Waiter(DocumentKind kind, long maxWaitMillis, Runnable step, Runnable refusal) {
      this.kind = kind;
      this.maxWaitMillis = maxWaitMillis;
      this.step = step;
      this.refusal = refusal;
    }
  }

  /**
   * Creates an instance that tracks no documents, so that nothing waits.
   *
   * @param boundMillis the time within which a change must be known
   */
  public DocumentFreshness(CoreContext context, long boundMillis) {
    this.context = context;
    this.boundMillis = boundMillis;
  }

  /**
   * Tracks a document.
   *
   * @param ageMillis returns the time since the copy in use was confirmed; empty without a copy
   */
  public void track(DocumentKind kind, Supplier<OptionalLong> ageMillis) {
    ages.put(kind, ageMillis);
  }

  /**
   * Sets how documents are refreshed.
   *
   * @param newRefresh begins a refresh, unless one is in progress
   * @param timeoutMillis the longest time that a refresh takes
   */
  public void setRefresh(Runnable newRefresh, long timeoutMillis) {
    refresh = newRefresh;
    refreshTimeoutMillis = timeoutMillis;
  }

  /**
   * Sets which documents the store has been asked for and has not answered yet.
   *
   * @param isOpen returns whether a read of the document is open
   */
  public void setOpenReads(Predicate<DocumentKind> isOpen) {
    openReads = isOpen;
  }

  /** Returns whether the copy may be outdated, and a refresh may still tell. */
  public boolean isUncertain(DocumentKind kind) {
    return ageMillis(kind) > MAX_AGE_RATIO * boundMillis && !isUnreachable(kind);
  }

  /**
   * Returns whether the copy is old because this host stood still, and not because its refreshes
   * failed: it was recent when the last pause began, and the time for a refresh is not over.
   */
  private boolean isLate(DocumentKind kind) {
    long sincePauseMillis = context.millisSincePause();
    long age = ageMillis(kind);
    long pausedMillis = context.pausedMillisSince(context.nowIncludingSuspensions() - age);
    long ageWithoutPausesMillis = age - pausedMillis - sincePauseMillis;
    return isUncertain(kind)
        && pausedMillis > 0
        && sincePauseMillis <= boundMillis
        && ageWithoutPausesMillis <= MAX_AGE_RATIO * boundMillis;
  }

  /** Returns whether a late answer of the store may still confirm the copy. */
  private boolean isAwaited(DocumentKind kind) {
    return isLate(kind) && openReads.test(kind);
  }

  private long ageMillis(DocumentKind kind) {
    Supplier<OptionalLong> age = ages.get(kind);
    return age == null ? 0 : age.get().orElse(0);
  }

  private boolean isUnreachable(DocumentKind kind) {
    Failure last = failures.get(kind);
    return last != null
        && last.pausedMillis() == context.pausedMillis()
        && context.nowIncludingSuspensions() - last.at() <= boundMillis;
  }

  private void recordFailure(DocumentKind kind) {
    failures.put(kind, new Failure(context.nowIncludingSuspensions(), context.pausedMillis()));
  }

  /**
   * Runs a step once the copy is no longer uncertain. If the wait ends first, at the latest after
   * {@link #MAX_WAIT_MILLIS}, runs {@code refusal} if this host is late, and the step if not. Both
   * must not throw.
   *
   * @param remainingMillis the time until the deadline of the step's request
   */
  public void await(DocumentKind kind, long remainingMillis, Runnable step, Runnable refusal) {
    if (waiters.isEmpty()) {
      waitingSince = context.now();
      context.logEvent(EventCode.DOCUMENT_UNCONFIRMED, kind.name(), "ageMillis=" + ageMillis(kind));
    }
    Waiter waiter = new Waiter(kind, maxWaitMillis(remainingMillis), step, refusal);
    waiter.timeout = context.schedule(waiter.maxWaitMillis, () -> onWaitTimeout(waiter));
    waiters.add(waiter);
    beginRefresh();
  }

  private static long maxWaitMillis(long remainingMillis) {
    long share = Math.round(MAX_WAIT_RATIO * remainingMillis);
    return Math.max(MIN_WAIT_MILLIS, Math.min(MAX_WAIT_MILLIS, share));
  }

  /** Begins a refresh after the current step, which a refresh that throws must not end. */
  private void beginRefresh() {
    context.schedule(0, refresh);
  }

  /** Lets all that has waited for a document go on if its copy is no longer uncertain. */
  public void onConfirmed() {
    release();
  }

  /**
   * Records the end of a refresh, of which {@link #onConfirmed} has reported the successes.
   *
   * @param startedAt when it began, by {@link CoreContext#nowIncludingSuspensions}
   */
  public void onRefreshEnded(long startedAt) {
    long durationMillis = context.nowIncludingSuspensions() - startedAt;
    boolean isInterrupted =
        durationMillis > refreshTimeoutMillis + MAX_TIMER_DELAY_MILLIS
            || context.pausedMillisSince(startedAt) > 0;
    for (DocumentKind kind : ages.keySet()) {
      long ageAtStartMillis = ageMillis(kind) - durationMillis;
      boolean mayTell = ageAtStartMillis >= MIN_AGE_AT_FAILED_REFRESH_RATIO * boundMillis;
      if (!isInterrupted && mayTell && !isAwaited(kind)) {
        recordFailure(kind);
      }
    }
    release();
    boolean isOneMissing = waiters.stream().anyMatch(waiter -> !isAwaited(waiter.kind));
    if (isOneMissing || (isInterrupted && !waiters.isEmpty())) {
      beginRefresh();
    }
  }

  private void onWaitTimeout(Waiter waiter) {
    if (isLate(waiter.kind)) {
      refuse(waiter);
    } else if (waiter.maxWaitMillis < MAX_WAIT_MILLIS) {
      waiters.remove(waiter);
      waiter.step.run();
    } else {
      recordFailures();
      release();
    }
  }

  private void refuse(Waiter waiter) {
    waiters.remove(waiter);
    if (pausedMillisAtLastRefusal != context.pausedMillis()) {
      pausedMillisAtLastRefusal = context.pausedMillis();
      context.logEvent(
          EventCode.REFRESH_LATE,
          waiter.kind.name(),
          "ageMillis="
              + ageMillis(waiter.kind)
              + " sincePauseMillis="
              + context.millisSincePause()
              + " isBeingRead="
              + openReads.test(waiter.kind));
    }
    waiter.refusal.run();
  }

  private void recordFailures() {
    for (DocumentKind kind : ages.keySet()) {
      if (isUncertain(kind) && !isLate(kind)) {
        recordFailure(kind);
      }
    }
  }

  private void release() {
    List<Waiter> released = new ArrayList<>();
    waiters.removeIf(waiter -> !isUncertain(waiter.kind) && released.add(waiter));
    if (released.isEmpty()) {
      return;
    }
    DocumentKind kind = released.get(0).kind;
    context.logEvent(
        EventCode.DOCUMENT_WAIT_ENDED,
        kind.name(),
        "ageMillis="
            + ageMillis(kind)
            + " unreachable="
            + isUnreachable(kind)
            + " waitedMillis="
            + (context.now() - waitingSince)
            + " requests="
            + released.size());
    for (Waiter waiter : released) {
      waiter.timeout.cancel();
      waiter.step.run();
    }
  }
}
