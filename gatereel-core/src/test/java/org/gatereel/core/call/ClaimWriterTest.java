package org.gatereel.core.call;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.SplittableRandom;
import org.gatereel.core.action.Action;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.platform.PlatformPort;
import org.gatereel.core.platform.StoreLimits;
import org.gatereel.core.platform.TableWrite;
import org.junit.jupiter.api.Test;

class ClaimWriterTest {
  private final CoreContext context =
      new CoreContext(new HostId("host"), new DataCentre("hall"), new SplittableRandom(1));

  @Test
  void transactionHasAtMostTheRowsThatTheStoreAllows() {
    PlatformPort platform = new PlatformPort(context, new StoreLimits(400, 3));
    ClaimWriter writer = new ClaimWriter(context, platform, () -> 10);
    for (int index = 0; index < 5; index++) {
      writer.claim(TableWrite.insert("claim/" + index, "value"), present -> {});
    }
    context.timers().runDue(context.now());
    List<Integer> sizes =
        context.takeActions().stream()
            .filter(Action.Transact.class::isInstance)
            .map(action -> ((Action.Transact) action).writes().size())
            .toList();
    assertEquals(List.of(3), sizes);
  }
}
