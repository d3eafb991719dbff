package org.gatereel.forward.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Queues the pipelined requests of one connection while an earlier request is handled.
 *
 * <p>At most one request is current, which means that it is being handled or is about to be. All
 * requests offered until {@link #completeCurrent} is called are queued.
 */
final class PipelineQueue<T> {
  private final Deque<T> queuedRequests = new ArrayDeque<>();
  private boolean busy;

  /** Returns true if the request is to be handled now; queues it otherwise. */
  boolean offer(T request) {
    if (busy) {
      queuedRequests.add(request);
      return false;
    }
    busy = true;
    return true;
  }

  /** Completes the current request; returns the next one, which becomes current. */
  Optional<T> completeCurrent() {
    Optional<T> next = Optional.ofNullable(queuedRequests.poll());
    busy = next.isPresent();
    return next;
  }

  /** Returns whether there is no current request. */
  boolean isIdle() {
    return !busy;
  }

  /** Returns the number of queued requests. */
  int size() {
    return queuedRequests.size();
  }

  /** Removes and returns the queued requests. */
  List<T> drain() {
    List<T> removed = List.copyOf(queuedRequests);
    queuedRequests.clear();
    return removed;
  }
}
