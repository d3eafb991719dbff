package org.gatereel.forward.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class PipelineQueueTest {
  private final PipelineQueue<String> queue = new PipelineQueue<>();

  @Test
  void returnsRequestsOneAtATime() {
    assertTrue(queue.offer("a"));
    assertFalse(queue.offer("b"));

    assertEquals(Optional.of("b"), queue.completeCurrent());
    assertEquals(Optional.empty(), queue.completeCurrent());
    assertTrue(queue.isIdle());
  }

  @Test
  void queuesARequestWhileTheNextOneIsAboutToBeHandled() {
    queue.offer("a");
    queue.offer("b");
    assertEquals(Optional.of("b"), queue.completeCurrent());

    assertFalse(queue.offer("c"));

    assertEquals(Optional.of("c"), queue.completeCurrent());
  }

  @Test
  void drainsTheQueuedRequests() {
    queue.offer("a");
    queue.offer("b");

    assertEquals(List.of("b"), queue.drain());
    assertEquals(0, queue.size());
  }
}
