package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.Optional;
import org.junit.jupiter.api.Test;

class ConfigurationKeeperTest {
  private final ForwardWorld world = new ForwardWorld();
  private final ConfigurationKeeper keeper = world.keeper;

  private Object refusal(String path, Optional<String> key) {
    return keeper.find("example", path, key) instanceof ConfigurationKeeper.Lookup.Denied denied
        ? denied.refusal()
        : "allowed";
  }

  @Test
  void refusesKeysOnceTheProofIsTooOld() {
    world.pass(4_849);
    assertEquals("allowed", refusal("/safe/x", Optional.of(ForwardWorld.KEY)));

    world.pass(1);
    assertEquals(Refusal.STALE_CONFIGURATION, refusal("/safe/x", Optional.of(ForwardWorld.KEY)));
  }

  /** Its steady clock stood still, so that by it alone removed keys would still be taken. */
  @Test
  void refusesKeysAfterASuspensionUntilTheConfigurationIsProvedAnew() {
    world.pass(100);
    world.context.recordSuspension(4_800);
    assertEquals(Refusal.STALE_CONFIGURATION, refusal("/safe/x", Optional.of(ForwardWorld.KEY)));

    keeper.confirm(1, world.context.nowIncludingSuspensions());

    assertEquals("allowed", refusal("/safe/x", Optional.of(ForwardWorld.KEY)));
  }

  @Test
  void anAnswerToAQuestionFromBeforeASuspensionProvesNothingOfTheTimeAfter() {
    long askedAt = world.context.nowIncludingSuspensions();
    world.context.recordSuspension(6_000);
    keeper.confirm(1, askedAt);

    assertEquals(6_000, keeper.ageMillis());
    assertEquals(Refusal.STALE_CONFIGURATION, refusal("/safe/x", Optional.of(ForwardWorld.KEY)));
  }

  @Test
  void callsNoKeyUnknownAfterASuspension() {
    world.context.recordSuspension(3_000);

    assertEquals(Refusal.STALE_CONFIGURATION, refusal("/safe/x", Optional.of("other")));
    assertEquals(Refusal.STALE_CONFIGURATION, refusal("/nowhere/", Optional.of(ForwardWorld.KEY)));
  }

  @Test
  void countsTheProofFromWhenTheQuestionWasSent() {
    long askedAt = world.context.now();
    world.pass(3_000);
    keeper.confirm(1, askedAt);

    assertEquals(3_000, keeper.ageMillis());
  }

  @Test
  void neverGoesBackToAnEarlierVersion() {
    keeper.learn(ForwardWorld.configuration(5).build(), world.context.now());
    keeper.learn(ForwardWorld.configuration(4).build(), world.context.now());

    assertEquals(5, keeper.version());
  }

  @Test
  void takesNoProofFromAnAnswerAboutAnotherVersion() {
    world.pass(1_000);
    keeper.confirm(0, world.context.now());

    assertEquals(1_000, keeper.ageMillis());
  }

  @Test
  void callsAKeyUnknownOnlyWhileTheConfigurationIsFresh() {
    assertEquals(Refusal.UNKNOWN_KEY, refusal("/safe/x", Optional.of("other")));
    assertEquals(Refusal.NO_ROUTE, refusal("/nowhere/", Optional.of(ForwardWorld.KEY)));

    world.pass(2_000);

    assertEquals(Refusal.STALE_CONFIGURATION, refusal("/safe/x", Optional.of("other")));
    assertEquals(Refusal.STALE_CONFIGURATION, refusal("/nowhere/", Optional.of(ForwardWorld.KEY)));
  }

  @Test
  void findsTheLongestPrefix() {
    Configuration configuration =
        Configuration.builder(9)
            .add(ForwardWorld.route("/a/", RouteKind.ONCE, ForwardWorld.COUNTERS, 1))
            .add(ForwardWorld.route("/a/b/", RouteKind.REPEATABLE, ForwardWorld.COUNTERS, 1))
            .build();
    keeper.learn(configuration, world.context.now());

    ConfigurationKeeper.Lookup.Allowed found =
        assertInstanceOf(
            ConfigurationKeeper.Lookup.Allowed.class,
            keeper.find("example", "/a/b/c", Optional.empty()));

    assertEquals("/a/b/", found.route().pathPrefix());
  }
}
