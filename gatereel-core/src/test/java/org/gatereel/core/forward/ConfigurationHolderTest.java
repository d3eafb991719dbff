package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class ConfigurationHolderTest {
  private final ForwardWorld world = new ForwardWorld();
  private final ConfigurationHolder keeper = world.configurationHolder;

  private Object refusal(String path, Optional<String> key) {
    return keeper.lookUp("example", path, key) instanceof ConfigurationHolder.Lookup.Denied denied
        ? denied.rejection()
        : "allowed";
  }

  @Test
  void refusesKeysOnceTheProofIsTooOld() {
    world.advanceTime(4_849);
    assertEquals("allowed", refusal("/safe/x", Optional.of(ForwardWorld.KEY)));

    world.advanceTime(1);
    assertEquals(Rejection.STALE_CONFIGURATION, refusal("/safe/x", Optional.of(ForwardWorld.KEY)));
  }

  /** Its steady clock stood still, so that by it alone removed keys would still be taken. */
  @Test
  void refusesKeysAfterASuspensionUntilTheConfigurationIsProvedAnew() {
    world.advanceTime(100);
    world.context.noteLost(4_800);
    assertEquals(Rejection.STALE_CONFIGURATION, refusal("/safe/x", Optional.of(ForwardWorld.KEY)));

    keeper.confirm(1, world.context.knowledgeTime());

    assertEquals("allowed", refusal("/safe/x", Optional.of(ForwardWorld.KEY)));
  }

  @Test
  void anAnswerToAQuestionFromBeforeASuspensionProvesNothingOfTheTimeAfter() {
    long askedAt = world.context.knowledgeTime();
    world.context.noteLost(6_000);
    keeper.confirm(1, askedAt);

    assertEquals(6_000, keeper.ageMillis());
    assertEquals(Rejection.STALE_CONFIGURATION, refusal("/safe/x", Optional.of(ForwardWorld.KEY)));
  }

  @Test
  void callsNoKeyUnknownAfterASuspension() {
    world.context.noteLost(3_000);

    assertEquals(Rejection.STALE_CONFIGURATION, refusal("/safe/x", Optional.of("other")));
    assertEquals(
        Rejection.STALE_CONFIGURATION, refusal("/nowhere/", Optional.of(ForwardWorld.KEY)));
  }

  @Test
  void countsTheProofFromWhenTheQuestionWasSent() {
    long askedAt = world.context.now();
    world.advanceTime(3_000);
    keeper.confirm(1, askedAt);

    assertEquals(3_000, keeper.ageMillis());
  }

  @Test
  void neverGoesBackToAnEarlierVersion() {
    keeper.update(ForwardWorld.configuration(5).build(), world.context.now());
    keeper.update(ForwardWorld.configuration(4).build(), world.context.now());

    assertEquals(5, keeper.version());
  }

  @Test
  void takesNoProofFromAnAnswerAboutAnotherVersion() {
    world.advanceTime(1_000);
    keeper.confirm(0, world.context.now());

    assertEquals(1_000, keeper.ageMillis());
  }

  @Test
  void callsAKeyUnknownOnlyWhileTheConfigurationIsFresh() {
    assertEquals(Rejection.UNKNOWN_KEY, refusal("/safe/x", Optional.of("other")));
    assertEquals(Rejection.NO_ROUTE, refusal("/nowhere/", Optional.of(ForwardWorld.KEY)));

    world.advanceTime(2_000);

    assertEquals(Rejection.STALE_CONFIGURATION, refusal("/safe/x", Optional.of("other")));
    assertEquals(
        Rejection.STALE_CONFIGURATION, refusal("/nowhere/", Optional.of(ForwardWorld.KEY)));
  }

  @Test
  void findsTheLongestPrefix() {
    Configuration configuration =
        Configuration.builder(9)
            .add(ForwardWorld.route("/a/", RouteKind.ONCE, ForwardWorld.COUNTERS, 1))
            .add(ForwardWorld.route("/a/b/", RouteKind.REPEATABLE, ForwardWorld.COUNTERS, 1))
            .build();
    keeper.update(configuration, world.context.now());

    ConfigurationHolder.Lookup.Allowed found =
        assertInstanceOf(
            ConfigurationHolder.Lookup.Allowed.class,
            keeper.lookUp("example", "/a/b/c", Optional.empty()));

    assertEquals("/a/b/", found.route().pathPrefix());
  }
}
