package org.gatereel.core.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.function.Consumer;

/**
 * Those who wait at this host for the same thing that another one lends: while a question is open
 * they gather, and are asked for together with the next one.
 */
public final class TokenWaiters {
  private final Queue<Consumer<Boolean>> waiting = new ArrayDeque<>();
  private boolean asking;

  /** Adds one, who is told once whether there was something for them. */
  public void add(Consumer<Boolean> answer) {
    waiting.add(answer);
  }

  public boolean isEmpty() {
    return waiting.isEmpty();
  }

  /** Begins a question; returns for how many, 0 if nobody waits or one is open. */
  public int startBatch() {
    if (asking || waiting.isEmpty()) {
      return 0;
    }
    asking = true;
    return waiting.size();
  }

  /**
   * Ends a question and tells those for whom it was, the first of them that there was something.
   *
   * @param asked for how many it was
   * @param granted for how many of them there was something
   */
  public void completeBatch(int asked, int granted) {
    // Whoever is told may wait again at once, and begin a question before the others are told.
    List<Consumer<Boolean>> told = new ArrayList<>();
    for (int index = 0; index < asked; index++) {
      told.add(waiting.remove());
    }
    asking = false;
    for (int index = 0; index < asked; index++) {
      told.get(index).accept(index < granted);
    }
  }
}
