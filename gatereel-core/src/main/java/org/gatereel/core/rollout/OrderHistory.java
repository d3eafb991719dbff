package org.gatereel.core.rollout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.gatereel.core.model.ServiceName;

/**
 * Tells new orders from orders that an older copy of the store has brought back, and from known
 * ones that operators have written again.
 *
 * <p>An order has no identity but its row's revision, which rises until the store returns from an
 * older copy. If the copy lacks the known order, operators write it again with any revision. Until
 * then the copy shows no order of that service, or the one before.
 */
final class OrderHistory {
  /** Orders that the copy lacks are written again within this time. */
  private static final long REWRITE_PERIOD_MILLIS = 5_000;

  /** After this time an order for the same version is another one. */
  private static final long SAME_ORDER_PERIOD_MILLIS = 60_000;

  /** Writes without response may be done late, within this time. */
  private static final long LATE_WRITES_PERIOD_MILLIS = 10_000;

  private final Map<ServiceName, RolloutOrder> known = new HashMap<>();
  private final Map<ServiceName, Set<RolloutOrder>> replaced = new HashMap<>();

  /** The services whose known order has not been read since the store's return. */
  private final Set<ServiceName> unconfirmed = new HashSet<>();

  /** What was first read in place of an unconfirmed order: another one, or none. */
  private final Map<ServiceName, Optional<RolloutOrder>> ofCopy = new HashMap<>();

  private long returnedAt = Long.MIN_VALUE / 2;

  /** What an order is to this host. */
  enum Finding {
    /** The known order. */
    KNOWN,
    /** An order that takes the place of the known one. */
    NEW,
    /** The known order with another revision, which replaces its former one. */
    WRITTEN_AGAIN,
    /** An order that must not take the place of the known one, for the first time. */
    BROUGHT_BACK,
    /** An order that must not take the place of the known one. */
    OUTDATED
  }

  /** Records that the store has returned from an older copy. */
  void recordStoreReturn(long now) {
    returnedAt = now;
    unconfirmed.addAll(known.keySet());
    ofCopy.clear();
  }

  /** Returns whether a reading from a time shows the store as it is since its last return. */
  boolean isSinceReturn(long readAt) {
    return readAt > returnedAt;
  }

  /** Returns whether the known order was read since the store's last return. */
  boolean isConfirmed(ServiceName service) {
    return known.containsKey(service) && !unconfirmed.contains(service);
  }

  /** Returns whether the known order was read since the store's last return, or may still be. */
  boolean mayBeRead(ServiceName service, long now) {
    return isConfirmed(service) || now - returnedAt < SAME_ORDER_PERIOD_MILLIS;
  }

  /** Returns whether writes from before the store's last return may still change rows. */
  boolean isReturnRecent(long now) {
    return now - returnedAt < LATE_WRITES_PERIOD_MILLIS;
  }

  /** Returns the known order of a service. */
  RolloutOrder known(ServiceName service) {
    return known.get(service);
  }

  /** Records which services have no order in a reading since the store's last return. */
  void recordAbsent(List<RolloutOrder> listed) {
    Set<ServiceName> absent = new HashSet<>(unconfirmed);
    listed.forEach(order -> absent.remove(order.service()));
    absent.forEach(service -> ofCopy.putIfAbsent(service, Optional.empty()));
  }

  /** Records an order that was read since the store's last return. */
  Finding record(RolloutOrder order, long now) {
    RolloutOrder before = known.get(order.service());
    if (before == null) {
      return accept(order, Finding.NEW);
    }
    if (unconfirmed.contains(order.service())) {
      return recordAfterReturn(order, before, now);
    }
    if (order.revision() > before.revision()) {
      replaced.computeIfAbsent(order.service(), any -> new HashSet<>()).add(before);
      return accept(order, Finding.NEW);
    }
    return order.equals(before) ? Finding.KNOWN : Finding.OUTDATED;
  }

  private Finding recordAfterReturn(RolloutOrder order, RolloutOrder before, long now) {
    if (order.equals(before)) {
      return accept(order, Finding.KNOWN);
    }
    if (order.requestsSameAs(before) && now - returnedAt < SAME_ORDER_PERIOD_MILLIS) {
      return accept(order, Finding.WRITTEN_AGAIN);
    }
    Optional<RolloutOrder> read = Optional.of(order);
    Optional<RolloutOrder> first = ofCopy.putIfAbsent(order.service(), read);
    boolean mayBeOfCopy = first == null || first.equals(read);
    if (mayBeOfCopy && (now - returnedAt < REWRITE_PERIOD_MILLIS || isReplaced(order))) {
      return first == null ? Finding.BROUGHT_BACK : Finding.OUTDATED;
    }
    replaced.computeIfAbsent(order.service(), any -> new HashSet<>()).add(before);
    return accept(order, Finding.NEW);
  }

  private boolean isReplaced(RolloutOrder order) {
    return replaced.getOrDefault(order.service(), Set.of()).contains(order);
  }

  private Finding accept(RolloutOrder order, Finding finding) {
    known.put(order.service(), order);
    unconfirmed.remove(order.service());
    ofCopy.remove(order.service());
    return finding;
  }
}
