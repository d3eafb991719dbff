package org.gatereel.core.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.function.Consumer;

/**
 * A queue of requests that wait for tokens from one issuer. Requests that arrive while a token
 * request is pending wait for the next one.
 */
public final class TokenWaiters {
  private final Queue<Consumer<Boolean>> waiting = new ArrayDeque<>();
  private boolean isBatchOpen;

  /** Adds a request; {@code callback} is called once with whether it got a token. */
  public void add(Consumer<Boolean> callback) {
    waiting.add(callback);
  }

  public boolean isEmpty() {
    return waiting.isEmpty();
  }

  /**
   * Starts a batch of all waiting requests. Returns its size; 0 if none wait or a batch is pending.
   */
  public int startBatch() {
    if (isBatchOpen || waiting.isEmpty()) {
      return 0;
    }
    isBatchOpen = true;
    return waiting.size();
  }

  /**
   * Completes a batch and calls its callbacks; the first requests get the tokens.
   *
   * @param size the size of the batch
   * @param granted how many tokens were granted
   */
  public void completeBatch(int size, int granted) {
    // A callback may add a request and start the next batch before the others are called.
    List<Consumer<Boolean>> batch = new ArrayList<>();
    for (int index = 0; index < size; index++) {
      batch.add(waiting.remove());
    }
    isBatchOpen = false;
    for (int index = 0; index < size; index++) {
      batch.get(index).accept(index < granted);
    }
  }
}
