package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

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
  private final List<Long> askedAt = new ArrayList<>();
  private final List<Poller.Completion> replies = new ArrayList<>();
  private final Poller poller =
      new Poller(
          context,
          "store",
          () -> 1_000,
          (now, reply) -> {
            askedAt.add(now);
            replies.add(reply);
          });

  private void passTo(long time) {
    while (context.now() < time) {
      context.advanceTo(context.now() + 1);
      context.timers().runDue(context.now());
    }
  }

  @Test
  void asksAgainAnIntervalAfterItAskedAndSoonerAfterAFailure() {
    poller.start();
    passTo(300);
    replies.get(0).complete(Optional.empty());
    passTo(1_000);
    assertEquals(List.of(0L, 1_000L), askedAt);
    replies.get(1).complete(Optional.of("no answer"));
    passTo(1_200);
    replies.get(2).complete(Optional.of("no answer"));
    passTo(1_600);
    assertEquals(List.of(0L, 1_000L, 1_200L, 1_600L), askedAt);
  }

  @Test
  void asksAgainEvenIfAQuestionIsNeverSettledAndThenIgnoresItsReply() {
    poller.start();
    passTo(6_200);
    assertEquals(List.of(0L, 6_200L), askedAt);
    replies.get(0).complete(Optional.empty());
    passTo(7_199);
    assertEquals(2, askedAt.size());
    replies.get(1).complete(Optional.empty());
    passTo(7_200);
    assertEquals(3, askedAt.size());
  }
}
