package org.gatereel.standins.engine;

/** Accepts fenced orders; an order whose fence is below the highest one seen is ignored. */
final class Orders {
  private long highest;
  private Order latest = new Order("", 0, "", "");

  /** One order, for example to load a model. */
  record Order(String holder, long fence, String order, String value) {}

  /** Returns whether the order was accepted. */
  synchronized boolean take(Order order) {
    if (order.fence() < highest) {
      return false;
    }
    highest = order.fence();
    latest = order;
    return true;
  }

  synchronized Order latest() {
    return latest;
  }
}
