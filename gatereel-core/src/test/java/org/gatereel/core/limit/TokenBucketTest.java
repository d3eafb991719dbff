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
  void beginsEmpty() {
    TokenBucket bucket = new TokenBucket(1_000);

    assertEquals(0, bucket.take(1_000, 10, 5, false));
    assertEquals(100, bucket.millisToNext(10, false));
  }

  @Test
  void savesLittleForBursts() {
    TokenBucket bucket = new TokenBucket(0);
    for (long now = 0; now < 10_000; now += 400) {
      bucket.take(now, 10, 1, false);
    }

    assertEquals(7, bucket.take(10_000, 10, 100, false));
  }

  @Test
  void savesNothingAtTheRateWhileNobodyAsks() {
    TokenBucket bucket = new TokenBucket(0);

    assertEquals(2, bucket.take(3_600_000, 10, 100, false));
  }

  @Test
  void givesStreamsThatHaveBegunTwoInAdvance() {
    TokenBucket bucket = new TokenBucket(0);

    assertEquals(2, bucket.take(0, 1, 5, true));
    assertEquals(0, bucket.take(1_000, 1, 5, false), "they are paid back");
    assertEquals(0, bucket.take(2_000, 1, 5, false));
    assertEquals(1, bucket.take(3_000, 1, 5, false));
  }

  @Test
  void goesByTheRateOfTheMoment() {
    TokenBucket bucket = new TokenBucket(0);
    bucket.take(0, 10, 1, false);

    assertEquals(1, bucket.take(10_000, 0.1, 5, false));
  }

  /** Half of what a target bears beside one and a half times its limit is left for chance. */
  @Property(tries = 200)
  void givesOutNoMoreInAnyWindowThanATargetBears(
      @ForAll @DoubleRange(min = 0.1, max = 50) double perSecond, @ForAll long seed) {
    TokenBucket bucket = new TokenBucket(0);
    SplittableRandom random = new SplittableRandom(seed);
    Queue<Long> given = new ArrayDeque<>();
    for (long now = 0; now < 60_000; now += 1 + random.nextInt(200)) {
      int taken = bucket.take(now, perSecond, random.nextInt(20), random.nextInt(5) == 0);
      for (int token = 0; token < taken; token++) {
        given.add(now);
      }
      while (!given.isEmpty() && given.peek() <= now - WINDOW_MILLIS) {
        given.remove();
      }
      double borne = 1.5 * perSecond * WINDOW_MILLIS / 1_000 + 5;
      assertTrue(given.size() <= borne, given.size() + " at " + perSecond);
    }
  }
}
