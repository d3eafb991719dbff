package org.gatereel.standins.engine;

/** Takes fenced orders: one with a lower fence than the highest seen changes nothing. */
final class Orders {
  private long highest;
  private Order latest = new Order("", 0, "", "");

  /** One order, for example to load a model. */
  record Order(String holder, long fence, String order, String value) {}

  /** Returns whether the order was taken. */
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
