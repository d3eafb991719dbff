package org.gatereel.core.poison;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.hash.HashCode;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.TargetId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** What one host concludes from the ends of targets that it learns of late. */
class PoisonControlTest {
  private final CoreContext context =
      new CoreContext(new HostId("h1"), new DataCentre("a"), new SplittableRandom(1));
  private final PoisonControl control = new PoisonControl(context);
  private final RequestFeatures request =
      RequestFeatures.of(Optional.empty(), () -> HashCode.fromLong(7), "", List.of());

  @BeforeEach
  void start() {
    context.advanceTo(100_000);
  }

  private static TargetId target(int number) {
    return new TargetId("e" + number);
  }

  /** Guards against requests that are held back though targets have served them since the ends. */
  @Test
  void aRequestThatWasServedBeforeItsFirstEndIsKnownIsNotQuarantined() {
    context.advanceTo(100_500);
    control.recordSuccess(request);
    context.advanceTo(102_500);
    control.recordEnd(request, target(1), 100_000, 100_100);
    control.recordEnd(request, target(2), 101_900, 102_000);
    control.recordEnd(request, target(3), 102_600, 102_700);

    assertTrue(control.findQuarantined(request).isEmpty());
    assertEquals(0, control.endCount(request.content()));
  }

  @Test
  void aSuccessOutweighsAnEarlierEndThatAnotherHostObserved() {
    context.advanceTo(100_500);
    control.recordSuccess(request);

    control.merge(List.of(PoisonFact.end(request.content(), target(1), 100_000, 100_100)));

    assertEquals(0, control.endCount(request.content()));
  }

  @Test
  void aRequestThatWasServedOnlyBeforeItsEndsIsQuarantined() {
    control.recordSuccess(request);
    context.advanceTo(110_000);
    control.recordEnd(request, target(1), 101_000, 101_100);
    control.recordEnd(request, target(2), 102_000, 102_100);
    control.recordEnd(request, target(3), 103_000, 103_100);

    assertTrue(control.findQuarantined(request).isPresent());
  }
}
