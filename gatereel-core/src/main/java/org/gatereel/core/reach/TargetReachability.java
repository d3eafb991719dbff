package org.gatereel.core.reach;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.load.TargetLoad;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.target.TargetRegistry;

/** Tracks to which targets this host can connect. */
public final class TargetReachability {
  private final CoreContext context;
  private final TargetRegistry targets;
  private final Function<TargetId, TargetLoad> othersLoad;
  private final Map<TargetId, ConnectOutcome> failures = new HashMap<>();

  /**
   * Creates a tracker.
   *
   * @param othersLoad returns the load that other hosts report at a target
   */
  public TargetReachability(
      CoreContext context, TargetRegistry targets, Function<TargetId, TargetLoad> othersLoad) {
    this.context = context;
    this.targets = targets;
    this.othersLoad = othersLoad;
  }

  /** Records how an attempt to connect directly to a target ended, and how long it took. */
  public void recordDirect(TargetId target, ConnectOutcome outcome, long millis) {
    if (outcome == ConnectOutcome.CONNECTED) {
      if (failures.remove(target) != null) {
        context.logEvent(EventCode.CONNECTION_REGAINED, target.toString(), "millis=" + millis);
      }
      return;
    }
    failures.keySet().removeIf(known -> targets.find(known).isEmpty());
    if (failures.put(target, outcome) != outcome) {
      logLost(target, outcome, millis);
    }
  }

  /** Logs a failure with what other hosts report, to tell a failed target from a failed link. */
  private void logLost(TargetId target, ConnectOutcome outcome, long millis) {
    TargetLoad others = othersLoad.apply(target);
    String failedElsewhere =
        others.failedAt() == TargetLoad.NEVER
            ? "-"
            : Long.toString(context.now() - others.failedAt());
    context.logEvent(
        EventCode.CONNECTION_LOST,
        target.toString(),
        "outcome="
            + outcome
            + " millis="
            + millis
            + " openElsewhere="
            + others.open()
            + " failedElsewhereMillis="
            + failedElsewhere);
  }

  /** Returns the number of targets to which the last connection failed. */
  public int unreachableCount() {
    return failures.size();
  }
}
