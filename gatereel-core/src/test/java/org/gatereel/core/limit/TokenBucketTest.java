package org.gatereel.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

class TokenBucketTest {
  private static final long WINDOW_MILLIS = 4_000;

  @Test
  void startsEmpty() {
    TokenBucket bucket = new TokenBucket(1_000);

    assertEquals(0, bucket.take(1_000, 10, 5, false));
    assertEquals(100, bucket.millisToNext(10, false));
  }

  @Test
  void limitsTheBurst() {
    TokenBucket bucket = new TokenBucket(0);
    for (long now = 0; now < 10_000; now += 400) {
      bucket.take(now, 10, 1, false);
    }

    assertEquals(7, bucket.take(10_000, 10, 100, false));
  }

  @Test
  void savesNothingInProportionToTheRateWhileIdle() {
    TokenBucket bucket = new TokenBucket(0);

    assertEquals(2, bucket.take(3_600_000, 10, 100, false));
  }

  @Test
  void issuesTwoTokensInAdvanceForUrgentRequests() {
    TokenBucket bucket = new TokenBucket(0);

    assertEquals(2, bucket.take(0, 1, 5, true));
    assertEquals(0, bucket.take(1_000, 1, 5, false), "advance tokens are paid back");
    assertEquals(0, bucket.take(2_000, 1, 5, false));
    assertEquals(1, bucket.take(3_000, 1, 5, false));
  }

  @Test
  void usesTheCurrentRate() {
    TokenBucket bucket = new TokenBucket(0);
    bucket.take(0, 10, 1, false);

    assertEquals(1, bucket.take(10_000, 0.1, 5, false));
  }

  /** Any 4 s window may hold 1.5 times the limit and 5 more requests. */
  @Property(tries = 200)
  void issuesAtMostTheAllowedTokensInAnyWindow(
      @ForAll @DoubleRange(min = 0.1, max = 50) double perSecond, @ForAll long seed) {
    TokenBucket bucket = new TokenBucket(0);
    SplittableRandom random = new SplittableRandom(seed);
    Queue<Long> issued = new ArrayDeque<>();
    for (long now = 0; now < 60_000; now += 1 + random.nextInt(200)) {
      int taken = bucket.take(now, perSecond, random.nextInt(20), random.nextInt(5) == 0);
      for (int token = 0; token < taken; token++) {
        issued.add(now);
      }
      while (!issued.isEmpty() && issued.peek() <= now - WINDOW_MILLIS) {
        issued.remove();
      }
      double maxAllowed = 1.5 * perSecond * WINDOW_MILLIS / 1_000 + 5;
      assertTrue(issued.size() <= maxAllowed, issued.size() + " at " + perSecond);
    }
  }
}
