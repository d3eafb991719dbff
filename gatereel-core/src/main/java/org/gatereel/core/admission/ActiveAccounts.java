package org.gatereel.core.admission;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.gatereel.core.model.AccountId;

/** The client accounts that asked for something lately, and what each has open at this host. */
final class ActiveAccounts {
  private static final long ACTIVE_MILLIS = 10_000;

  private final Map<AccountId, Activity> activities = new HashMap<>();
  private int totalOpen;

  private static final class Activity {
    private int weight;
    private int open;
    private long lastAsked;
  }

  /** Notes that an account opened a request; returns how many it has open now. */
  int opened(AccountId account, int weight, long now) {
    Activity activity = activities.computeIfAbsent(account, id -> new Activity());
    activity.weight = weight;
    activity.lastAsked = now;
    activity.open++;
    totalOpen++;
    return activity.open;
  }

  void closed(AccountId account) {
    activities.get(account).open--;
    totalOpen--;
  }

  /**
   * Returns whether an account has more than its weighted share of what is open here while others
   * are active; an account that is alone may have all.
   */
  boolean isOverShare(AccountId account, long now) {
    Activity own = activities.get(account);
    if (own == null) {
      return false;
    }
    long weights = 0;
    for (Iterator<Activity> all = activities.values().iterator(); all.hasNext(); ) {
      Activity activity = all.next();
      if (activity.open == 0 && now - activity.lastAsked > ACTIVE_MILLIS) {
        all.remove();
      } else {
        weights += activity.weight;
      }
    }
    return (long) own.open * weights > (long) own.weight * totalOpen;
  }
}
