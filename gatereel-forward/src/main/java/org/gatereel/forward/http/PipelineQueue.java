package org.gatereel.forward.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * The requests of one connection that wait for the answers before them.
 *
 * <p>From when a request is handed out until it is done, every other one waits: also one that is
 * read between the end of an answer and the start of the next request.
 */
final class PipelineQueue<T> {
  private final Deque<T> waiting = new ArrayDeque<>();
  private boolean busy;

  /** Takes a request in; returns whether it is to be handled now. */
  boolean offer(T request) {
    if (busy) {
      waiting.add(request);
      return false;
    }
    busy = true;
    return true;
  }

  /** Notes that the present request is answered; returns the one to be handled next. */
  Optional<T> completeCurrent() {
    Optional<T> next = Optional.ofNullable(waiting.poll());
    busy = next.isPresent();
    return next;
  }

  /** Returns whether no request is being handled or waits. */
  boolean isIdle() {
    return !busy;
  }

  /** Returns how many requests wait. */
  int size() {
    return waiting.size();
  }

  /** Hands over what waits, for good. */
  List<T> drain() {
    List<T> left = List.copyOf(waiting);
    waiting.clear();
    return left;
  }
}
