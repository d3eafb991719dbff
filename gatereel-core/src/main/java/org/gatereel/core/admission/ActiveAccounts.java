package org.gatereel.core.admission;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.gatereel.core.model.AccountId;

/** The client accounts with recent requests, and how many open requests each has at this host. */
final class ActiveAccounts {
  private static final long ACTIVE_MILLIS = 10_000;

  private final Map<AccountId, Activity> activities = new HashMap<>();
  private int totalOpen;

  private static final class Activity {
    private int weight;
    private int open;
    private long lastOpenedAt;
  }

  /** Records that an account opened a request; returns how many it has open. */
  int opened(AccountId account, int weight, long now) {
    Activity activity = activities.computeIfAbsent(account, id -> new Activity());
    activity.weight = weight;
    activity.lastOpenedAt = now;
    activity.open++;
    totalOpen++;
    return activity.open;
  }

  void closed(AccountId account) {
    activities.get(account).open--;
    totalOpen--;
  }

  /**
   * Returns whether an account has more than its weighted share of the open requests at this host.
   * This is never true of the only active account.
   */
  boolean isOverShare(AccountId account, long now) {
    Activity own = activities.get(account);
    if (own == null) {
      return false;
    }
    long weights = 0;
    for (Iterator<Activity> all = activities.values().iterator(); all.hasNext(); ) {
      Activity activity = all.next();
      if (activity.open == 0 && now - activity.lastOpenedAt > ACTIVE_MILLIS) {
        all.remove();
      } else {
        weights += activity.weight;
      }
    }
    return (long) own.open * weights > (long) own.weight * totalOpen;
  }
}
