package org.gatereel.core.document;

import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.internal.TimerQueue;
import org.gatereel.core.model.HostList;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.target.TargetRegistry;
import org.gatereel.core.target.TargetState;

/**
 * Applies the platform's list of targets to the {@link TargetRegistry}.
 *
 * <p>During an outage of the store the entries of live targets expire; targets register again soon
 * after the store recovers. So entries that disappeared between two lists with a long gap are
 * retained for a while. The gap alone does not show an outage, since the host itself may have been
 * disconnected or suspended: then the entries are of targets that have left. An outage is assumed
 * if most entries have disappeared or one of them returns. Entries that disappear later are of
 * targets that have left, as are those of any list after the first one since the host's start.
 *
 * <p>A store that has returned from an older copy lacks the targets that registered since, which
 * are retained likewise, and lists some that have left since, which are excluded for a while.
 */
public final class TargetListUpdater {
  /** Entries do not expire during shorter outages. */
  private static final long MIN_OUTAGE_MILLIS = 2_500;

  /** Live targets register again within this time after the store has recovered. */
  private static final long REREGISTRATION_PERIOD_MILLIS = 2_000;

  /** The part of the bound that the intervals between lists leave. */
  private static final double REMAINING_BOUND_RATIO = 0.5;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final CoreContext context;
  private final TargetRegistry targets;
  private final long outageMillis;
  private final long unconfirmedPeriodMillis;
  private final long maxListDelayMillis;
  private final Set<TargetId> retained = new HashSet<>();
  private final RemovedTargets removedTargets = new RemovedTargets();
  private boolean isReturnPending;
  private HostList lastList;
  private long lastQueryAt = NEVER;
  private long pausedMillisAtLastList;
  private long reconnectedAt = NEVER;
  private boolean isOutageConfirmed;
  private boolean isAfterReturn;
  private TimerQueue.Timer expiryTimer;

  /**
   * Creates an updater.
   *
   * @param boundMillis the time within which a target that has left must be removed, and the
   *     longest interval between two lists in normal operation
   */
  public TargetListUpdater(CoreContext context, TargetRegistry targets, long boundMillis) {
    this.context = context;
    this.targets = targets;
    this.outageMillis = Math.max(MIN_OUTAGE_MILLIS, boundMillis);
    this.maxListDelayMillis = (long) ((1 - REMAINING_BOUND_RATIO) * boundMillis);
    this.unconfirmedPeriodMillis =
        Math.min(REREGISTRATION_PERIOD_MILLIS, (long) (REMAINING_BOUND_RATIO * boundMillis));
  }

  /**
   * Applies a list.
   *
   * @param queriedAt when the query was sent whose response held the list; a list older than the
   *     last one is ignored
   */
  public void update(HostList list, long queriedAt) {
    if (queriedAt < lastQueryAt) {
      return;
    }
    Set<TargetId> listed = RemovedTargets.ids(list);
    if (lastList != null && isReturnPending) {
      onFirstListAfterReturn(list, listed, queriedAt);
    } else if (lastList != null && queriedAt - lastQueryAt > outageMillis) {
      beginRetention(listed, queriedAt);
      dropAfterOwnPause(queriedAt);
    } else if (retained.removeAll(listed)) {
      isOutageConfirmed = true;
    }
    lastQueryAt = queriedAt;
    pausedMillisAtLastList = context.pausedMillis();
    lastList = removedTargets.applyTo(list, queriedAt);
    endRetentionIfDue(queriedAt);
    replaceList();
    scheduleExpiry();
  }

  /** Records that the next list is the first one since the store returned from an older copy. */
  public void recordStoreReturn() {
    isReturnPending = true;
  }

  /**
   * Excludes targets from the lists of the copy, since another host does. To be called before the
   * first list, when this host knows nothing of targets that have left.
   */
  public void excludeAtStart(Set<TargetId> excludedByOther) {
    removedTargets.exclude(excludedByOther, context.nowIncludingSuspensions());
    context.logEvent(
        EventCode.REMOVED_TARGETS_LISTED,
        "targets",
        "excluded=" + excludedByOther.size() + " source=host");
  }

  /** Returns the targets that the store lists and that this host has known to leave. */
  public Set<TargetId> excluded() {
    return removedTargets.excluded(context.nowIncludingSuspensions());
  }

  private void onFirstListAfterReturn(HostList list, Set<TargetId> listed, long queriedAt) {
    isReturnPending = false;
    beginRetention(listed, queriedAt);
    isOutageConfirmed = true;
    isAfterReturn = true;
    Set<TargetId> excluded = removedTargets.exclude(list, known(), queriedAt);
    if (!excluded.isEmpty()) {
      context.logEvent(
          EventCode.REMOVED_TARGETS_LISTED,
          "targets",
          "excluded=" + excluded.size() + " source=store");
    }
  }

  private void replaceList() {
    Set<TargetId> removed = knownIds();
    targets.replaceList(lastList, retained);
    Set<TargetId> known = knownIds();
    removed.removeAll(known);
    removedTargets.record(removed, known, context.nowIncludingSuspensions());
  }

  private List<TargetDescription> known() {
    return targets.all().stream().map(TargetState::description).toList();
  }

  private Set<TargetId> knownIds() {
    return known().stream().map(TargetDescription::id).collect(Collectors.toSet());
  }

  /**
   * Returns the time since the query whose response held the last list, in milliseconds; empty
   * before the first list.
   */
  public OptionalLong ageIfKnown() {
    return lastList == null
        ? OptionalLong.empty()
        : OptionalLong.of(context.nowIncludingSuspensions() - lastQueryAt);
  }

  private void beginRetention(Set<TargetId> listed, long queriedAt) {
    Set<TargetId> known = knownIds();
    retained.clear();
    known.stream().filter(id -> !listed.contains(id)).forEach(retained::add);
    reconnectedAt = queriedAt;
    isOutageConfirmed = 2 * retained.size() > known.size();
    isAfterReturn = false;
    if (!retained.isEmpty()) {
      log(EventCode.ENTRIES_RETAINED, "gapMillis=" + (queriedAt - lastQueryAt));
    }
  }

  /** A gap in which this host itself stood still shows no outage of the store. */
  private void dropAfterOwnPause(long queriedAt) {
    long pausedMillis = context.pausedMillis() - pausedMillisAtLastList;
    boolean isOwnPause = queriedAt - lastQueryAt - pausedMillis <= outageMillis;
    if (isOwnPause && !isOutageConfirmed && !retained.isEmpty()) {
      log(EventCode.RETENTION_ENDED, "pausedMillis=" + pausedMillis);
      retained.clear();
    }
  }

  private long retentionEndAt() {
    if (isAfterReturn) {
      return reconnectedAt + REREGISTRATION_PERIOD_MILLIS + maxListDelayMillis;
    }
    return reconnectedAt
        + (isOutageConfirmed ? REREGISTRATION_PERIOD_MILLIS : unconfirmedPeriodMillis);
  }

  private void endRetentionIfDue(long now) {
    if (!retained.isEmpty() && now >= retentionEndAt()) {
      log(EventCode.RETENTION_ENDED, "afterMillis=" + (now - reconnectedAt));
      retained.clear();
    }
  }

  private void scheduleExpiry() {
    if (expiryTimer != null) {
      expiryTimer.cancel();
      expiryTimer = null;
    }
    if (!retained.isEmpty()) {
      long delayMillis = Math.max(0, retentionEndAt() - context.nowIncludingSuspensions());
      expiryTimer = context.schedule(delayMillis, this::onExpiry);
    }
  }

  /** Without a second list since the gap, the store may be away again; the next list decides. */
  private void onExpiry() {
    if (lastQueryAt > reconnectedAt) {
      endRetentionIfDue(context.nowIncludingSuspensions());
      replaceList();
    }
  }

  private void log(EventCode code, String inputs) {
    context.logEvent(
        code,
        "targets",
        "retained=" + retained.size() + " outage=" + isOutageConfirmed + " " + inputs);
  }
}
