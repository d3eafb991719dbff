package org.gatereel.core.poison;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.hash.HashCode;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.TargetId;
import org.junit.jupiter.api.Test;

/**
 * Guards against charging crashes to a whole request, or to a part that harmless requests share.
 */
class PoisonPartsTest {
  private static final long INTERVAL_MILLIS = 1_000;

  private final CoreContext context =
      new CoreContext(new HostId("h"), new DataCentre("north"), new SplittableRandom(1));
  private final PoisonControl control = new PoisonControl(context);
  private int crashes;

  /** Makes a request whose content no other one has. */
  private static RequestFeatures request(int content, String... parts) {
    return RequestFeatures.of(
        Optional.of(new AccountId("a")), () -> HashCode.fromInt(content), "", List.of(parts));
  }

  /** Makes a request that differs from others only in its prompt. */
  private static RequestFeatures prompt(String prompt, String... parts) {
    return RequestFeatures.of(Optional.empty(), () -> HashCode.fromInt(0), prompt, List.of(parts));
  }

  private void crash(RequestFeatures request) {
    context.advanceTo(context.now() + INTERVAL_MILLIS);
    control.recordEnd(request, new TargetId("i-" + crashes++), context.now() - 100, context.now());
  }

  private void succeed(RequestFeatures request) {
    control.recordSuccess(request);
    control.recordHarmlessParts(request);
  }

  private boolean isQuarantined(RequestFeatures request) {
    return control.findQuarantined(request).isPresent();
  }

  @Test
  void aPartIsQuarantinedAfterFourCrashesOfDifferentRequests() {
    succeed(request(100, "system"));
    for (int number = 0; number < 3; number++) {
      crash(request(number, "system", "bad"));
    }
    assertFalse(isQuarantined(request(50, "system", "bad")));

    crash(request(3, "system", "bad"));

    assertTrue(isQuarantined(request(50, "system", "bad")));
    assertTrue(isQuarantined(request(51, "other", "bad", "more")));
    assertFalse(isQuarantined(request(52, "system", "good")));
  }

  @Test
  void crashesOfOneRepeatedRequestAreNotChargedToItsParts() {
    RequestFeatures repeated = request(1, "system", "rare");
    for (int number = 0; number < 5; number++) {
      crash(repeated);
    }

    assertTrue(isQuarantined(repeated));
    assertFalse(isQuarantined(request(2, "system", "rare")));
  }

  @Test
  void aPartOnWhichAResponseWasCompletedIsNotCharged() {
    for (int number = 0; number < 4; number++) {
      crash(request(number, "system", "bad" + number % 2, "rare"));
      succeed(request(100 + number, "system", "rare"));
    }

    assertFalse(isQuarantined(request(50, "system", "rare")));
  }

  @Test
  void theFirstPartOfThePromptIsNotHeldWithOnesThatCannotBeToldApart() {
    for (int number = 0; number < 5; number++) {
      crash(request(number, "system", "bad", "companion"));
    }

    assertTrue(isQuarantined(request(50, "bad")));
    assertFalse(isQuarantined(request(51, "system")));
  }

  @Test
  void aSuccessAtAnyHostReleasesAPart() {
    for (int number = 0; number < 5; number++) {
      crash(request(number, "system", "bad", "companion"));
    }
    RequestFeatures companion = request(50, "system", "companion");
    assertTrue(isQuarantined(companion));

    control.merge(List.of(PoisonFact.clearing(Fingerprint.ofPart("companion"), context.now())));

    assertFalse(isQuarantined(companion));
  }

  @Test
  void aHostThatHasServedAPartClearsItAtTheOthers() {
    succeed(request(100, "system"));
    Fingerprint system = Fingerprint.ofPart("system");

    control.merge(
        List.of(PoisonFact.end(system, new TargetId("i-1"), context.now(), context.now())));

    assertEquals(0, control.endCount(system));
    assertTrue(control.after(0, 10).stream().anyMatch(numbered -> numbered.fact().isClearing()));
  }

  @Test
  void crashesAtOneMomentCountOnce() {
    for (int number = 0; number < 6; number++) {
      control.recordEnd(request(number, "rare"), new TargetId("i-" + number), 0, 100);
    }

    assertFalse(isQuarantined(request(50, "rare")));
  }

  @Test
  void differentPromptsOfAlikeRequestsAreNotTakenForOneRequest() {
    succeed(prompt("system:9,a:1", "system"));
    for (int number = 0; number < 3; number++) {
      crash(prompt("system:9,b" + number + ":1", "system"));
    }

    assertFalse(isQuarantined(prompt("system:9,c:1", "system")));
    assertEquals(0, control.quarantinedCount());
  }

  @Test
  void aRequestThatCrashesTargetsWithAnyPromptIsQuarantined() {
    for (int number = 0; number < 4; number++) {
      crash(prompt("a" + number + ":1"));
    }

    assertTrue(isQuarantined(prompt("b:1")));
    assertFalse(isQuarantined(request(1)));
  }
}
