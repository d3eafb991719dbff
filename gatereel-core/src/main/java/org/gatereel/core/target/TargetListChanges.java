package org.gatereel.core.target;

import java.util.ArrayList;
import java.util.List;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.TargetId;

/**
 * Collects the changes that one target list of the platform makes, and logs them as one line.
 *
 * <p>With a line for each target, these lines would be about half of a host's log while a third of
 * the targets end and return every six seconds.
 */
final class TargetListChanges {
  /** Maximum number of ids logged for each kind of change. */
  private static final int MAX_LOGGED_IDS = 32;

  private final List<TargetId> added = new ArrayList<>();
  private final List<TargetId> leaving = new ArrayList<>();
  private final List<TargetId> removed = new ArrayList<>();

  void added(TargetId target) {
    added.add(target);
  }

  void leaving(TargetId target) {
    leaving.add(target);
  }

  void removed(TargetId target) {
    removed.add(target);
  }

  /** Logs the changes, if there are any. */
  void log(CoreContext context, long version, int known) {
    if (added.isEmpty() && leaving.isEmpty() && removed.isEmpty()) {
      return;
    }
    context.logEvent(
        EventCode.TARGETS_CHANGED,
        Long.toString(version),
        "known="
            + known
            + describe(" came", added)
            + describe(" leaving", leaving)
            + describe(" gone", removed));
  }

  private static String describe(String kind, List<TargetId> targets) {
    if (targets.isEmpty()) {
      return "";
    }
    List<String> ids = targets.stream().limit(MAX_LOGGED_IDS).map(TargetId::toString).toList();
    String more = targets.size() > MAX_LOGGED_IDS ? ",..." : "";
    return kind + "=" + targets.size() + ":" + String.join(",", ids) + more;
  }
}
