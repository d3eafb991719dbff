package org.gatereel.core.retry;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RetryWindowTest {
  private static final long WINDOW_MILLIS = 10_000;

  @Test
  void slackIsRestoredAfterWindow() {
    RetryWindow window = new RetryWindow(WINDOW_MILLIS, 0);
    for (int retry = 0; retry < 3; retry++) {
      assertTrue(window.hasRoom(0, 0.5, 3));
      window.recordRetry(0);
    }
    assertFalse(window.hasRoom(WINDOW_MILLIS, 0.5, 3));
    assertTrue(window.hasRoom(WINDOW_MILLIS + 1_000, 0.5, 3));
  }

  @Test
  void requestsAddRetriesByRatio() {
    RetryWindow window = new RetryWindow(WINDOW_MILLIS, 0);
    window.recordRequest(0);
    assertFalse(window.hasRoom(0, 0.5, 0));
    window.recordRequest(0);
    assertTrue(window.hasRoom(0, 0.5, 0));
  }

  @Test
  void noIntervalOfWindowLengthExceedsBound() {
    SplittableRandom random = new SplittableRandom(20261202);
    RetryWindow window = new RetryWindow(WINDOW_MILLIS, 0);
    List<Long> requests = new ArrayList<>();
    List<Long> retries = new ArrayList<>();
    long now = 0;
    for (int step = 0; step < 5_000; step++) {
      now += random.nextInt(step % 500 < 50 ? 10 : 120);
      if (random.nextInt(3) == 0) {
        window.recordRequest(now);
        requests.add(now);
      } else if (window.hasRoom(now, 0.8, 5)) {
        window.recordRetry(now);
        retries.add(now);
        assertTrue(
            countWithinWindow(retries, now) <= 0.8 * countWithinWindow(requests, now) + 5,
            "at " + now);
      }
    }
    assertTrue(retries.size() > 500, "retries: " + retries.size());
  }

  private static long countWithinWindow(List<Long> times, long now) {
    return times.stream().filter(time -> time > now - WINDOW_MILLIS).count();
  }
}
