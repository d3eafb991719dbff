package org.gatereel.core.document;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.junit.jupiter.api.Test;

class PollerTest {
  private final CoreContext context =
      new CoreContext(new HostId("host"), new DataCentre("north"), new SplittableRandom(1));
  private final List<Long> queriedAt = new ArrayList<>();
  private final List<Poller.Completion> completions = new ArrayList<>();
  private final Poller poller =
      new Poller(
          context,
          "store",
          () -> 1_000,
          6_000,
          (now, completion) -> {
            queriedAt.add(now);
            completions.add(completion);
          });

  private void advanceTimeTo(long time) {
    while (context.now() < time) {
      context.advanceTo(context.now() + 1);
      context.timers().runDue(context.now());
    }
  }

  @Test
  void pollsAtIntervalAndSoonerAfterFailure() {
    poller.start();
    advanceTimeTo(300);
    completions.get(0).complete(Optional.empty());
    advanceTimeTo(1_000);
    assertEquals(List.of(0L, 1_000L), queriedAt);
    completions.get(1).complete(Optional.of("no response"));
    advanceTimeTo(1_200);
    completions.get(2).complete(Optional.of("no response"));
    advanceTimeTo(1_600);
    assertEquals(List.of(0L, 1_000L, 1_200L, 1_600L), queriedAt);
  }

  @Test
  void pollsAgainAfterQueryTimeoutAndIgnoresLateCompletion() {
    poller.start();
    advanceTimeTo(6_200);
    assertEquals(List.of(0L, 6_200L), queriedAt);
    completions.get(0).complete(Optional.empty());
    advanceTimeTo(7_199);
    assertEquals(2, queriedAt.size());
    completions.get(1).complete(Optional.empty());
    advanceTimeTo(7_200);
    assertEquals(3, queriedAt.size());
  }

  /** Guards against a query whose exception is only noticed by its timeout. */
  @Test
  void queryThatThrowsIsRepeatedAfterTheRetryDelay() {
    Poller throwing =
        new Poller(
            context,
            "store",
            () -> 1_000,
            6_000,
            (now, completion) -> {
              queriedAt.add(now);
              if (queriedAt.size() == 1) {
                throw new IllegalStateException("a request is already pending");
              }
            });
    assertThrows(IllegalStateException.class, throwing::start);

    advanceTimeTo(200);

    assertEquals(List.of(0L, 200L), queriedAt);
  }
}
