package org.gatereel.core.speed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import org.gatereel.core.load.LearntTime;
import org.gatereel.core.load.TargetTimes;
import org.junit.jupiter.api.Test;

class ServiceTimesTest {
  private static final double MANY = 1_000;

  private static TargetTimes times(double eventMillis, double weight) {
    return new TargetTimes(LearntTime.ofMillis(eventMillis, weight), LearntTime.UNKNOWN);
  }

  private static ServiceTimes service(double... eventMillis) {
    return ServiceTimes.of(
        Arrays.stream(eventMillis).mapToObj(millis -> times(millis, MANY)).toList());
  }

  /** Guards against slow targets that count like fast ones. */
  @Test
  void aTargetIsComparedWithTheMedianOfItsService() {
    ServiceTimes service = service(18, 30, 30, 48);

    assertEquals(1.6, service.relativeTime(times(48, MANY)), 0.01);
    assertEquals(0.6, service.relativeTime(times(18, MANY)), 0.01);
  }

  /** Guards against an unused target that counts as fast, or as slow as it once was. */
  @Test
  void withoutSamplesATargetCountsAsTheMedian() {
    ServiceTimes service = service(18, 30, 30, 48);

    assertEquals(1, service.relativeTime(TargetTimes.UNKNOWN));
    double recent = service.relativeTime(times(48, 32));
    double old = service.relativeTime(times(48, 4));
    double oldest = service.relativeTime(times(48, LastingTime.MIN_WEIGHT));
    assertTrue(recent > old && old > oldest, recent + ", " + old + ", " + oldest);
    assertEquals(1, oldest);
  }

  /** Guards against choices that differ where targets are alike. */
  @Test
  void smallDifferencesHaveNoEffect() {
    ServiceTimes service = service(29, 30, 31, 32);

    assertEquals(1, service.relativeTime(times(29, MANY)));
    assertEquals(1, service.relativeTime(times(32, MANY)));
  }

  /** Guards against a median of one or two targets, which are then compared with themselves. */
  @Test
  void twoTargetsAreNotCompared() {
    assertEquals(1, service(18, 48).relativeTime(times(48, MANY)));
  }

  /** Guards against a wrong figure that sends a target all requests, or none. */
  @Test
  void impossibleDifferencesAreBounded() {
    ServiceTimes service = service(0.01, 30, 30, 30, 600_000);

    assertEquals(0.4, service.relativeTime(times(0.01, MANY)), 0.01);
    assertEquals(2.5, service.relativeTime(times(600_000, MANY)), 0.01);
    assertEquals(1, service.relativeTime(times(30, MANY)));
  }

  /** Guards against prompts that are read slowly by a target whose events are fast. */
  @Test
  void theTimeOfWorkCountsBesideThatOfEvents() {
    List<TargetTimes> alike =
        Collections.nCopies(
            3, new TargetTimes(LearntTime.ofMillis(30, 4), LearntTime.ofMillis(140, 4)));
    double relative =
        ServiceTimes.of(alike)
            .relativeTime(new TargetTimes(LearntTime.ofMillis(30, 4), LearntTime.ofMillis(280, 4)));

    assertTrue(relative > 1.5 && relative < 2, "relative time: " + relative);
  }
}
