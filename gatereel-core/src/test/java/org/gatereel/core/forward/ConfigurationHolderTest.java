package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.Optional;
import org.gatereel.core.configuration.Configuration;
import org.gatereel.core.configuration.RouteKind;
import org.junit.jupiter.api.Test;

class ConfigurationHolderTest {
  private final ForwardWorld world = new ForwardWorld();
  private final ConfigurationHolder holder = world.configurationHolder;

  private Object lookUpResult(String path, Optional<String> key) {
    return holder.lookUp("example", path, key) instanceof ConfigurationHolder.Lookup.Denied denied
        ? denied.rejection()
        : "allowed";
  }

  @Test
  void rejectsKeysOnceConfigurationIsStale() {
    world.advanceTime(4_849);
    assertEquals("allowed", lookUpResult("/safe/x", Optional.of(ForwardWorld.KEY)));

    world.advanceTime(1);
    assertEquals(
        Rejection.STALE_CONFIGURATION, lookUpResult("/safe/x", Optional.of(ForwardWorld.KEY)));
  }

  /**
   * The monotonic clock stops during a suspension, so that the age of the configuration must
   * include the lost time.
   */
  @Test
  void rejectsKeysAfterSuspensionUntilConfigurationIsConfirmed() {
    world.advanceTime(100);
    world.context.recordSuspension(4_800);
    assertEquals(
        Rejection.STALE_CONFIGURATION, lookUpResult("/safe/x", Optional.of(ForwardWorld.KEY)));

    holder.confirm(1, world.context.nowIncludingSuspensions());

    assertEquals("allowed", lookUpResult("/safe/x", Optional.of(ForwardWorld.KEY)));
  }

  @Test
  void responseToQueryFromBeforeSuspensionDoesNotConfirmLaterState() {
    long queriedAt = world.context.nowIncludingSuspensions();
    world.context.recordSuspension(6_000);
    holder.confirm(1, queriedAt);

    assertEquals(6_000, holder.ageMillis());
    assertEquals(
        Rejection.STALE_CONFIGURATION, lookUpResult("/safe/x", Optional.of(ForwardWorld.KEY)));
  }

  @Test
  void doesNotReportUnknownKeyAfterSuspension() {
    world.context.recordSuspension(3_000);

    assertEquals(Rejection.STALE_CONFIGURATION, lookUpResult("/safe/x", Optional.of("other")));
    assertEquals(
        Rejection.STALE_CONFIGURATION, lookUpResult("/nowhere/", Optional.of(ForwardWorld.KEY)));
  }

  @Test
  void measuresConfirmationAgeFromWhenQueryWasSent() {
    long queriedAt = world.context.now();
    world.advanceTime(3_000);
    holder.confirm(1, queriedAt);

    assertEquals(3_000, holder.ageMillis());
  }

  @Test
  void ignoresEarlierVersion() {
    holder.update(ForwardWorld.configuration(5).build(), world.context.now());
    holder.update(ForwardWorld.configuration(4).build(), world.context.now());

    assertEquals(5, holder.version());
  }

  /** Guards against keys that are refused while a store that has returned shows its copy. */
  @Test
  void readingOfAnEarlierVersionConfirmsThatThereIsNoNewerOne() {
    holder.update(ForwardWorld.configuration(5).build(), world.context.now());
    world.advanceTime(3_000);
    holder.update(ForwardWorld.configuration(4).build(), world.context.now() - 100);

    assertEquals(5, holder.version());
    assertEquals(100, holder.ageMillis());
  }

  @Test
  void ignoresConfirmationOfOtherVersion() {
    world.advanceTime(1_000);
    holder.confirm(0, world.context.now());

    assertEquals(1_000, holder.ageMillis());
  }

  @Test
  void reportsUnknownKeyOnlyWhileConfigurationIsFresh() {
    assertEquals(Rejection.UNKNOWN_KEY, lookUpResult("/safe/x", Optional.of("other")));
    assertEquals(Rejection.NO_ROUTE, lookUpResult("/nowhere/", Optional.of(ForwardWorld.KEY)));

    world.advanceTime(2_000);

    assertEquals(Rejection.STALE_CONFIGURATION, lookUpResult("/safe/x", Optional.of("other")));
    assertEquals(
        Rejection.STALE_CONFIGURATION, lookUpResult("/nowhere/", Optional.of(ForwardWorld.KEY)));
  }

  @Test
  void findsRouteWithLongestPrefix() {
    Configuration configuration =
        Configuration.builder(9)
            .add(ForwardWorld.route("/a/", RouteKind.ONCE, ForwardWorld.COUNTERS, 1))
            .add(ForwardWorld.route("/a/b/", RouteKind.REPEATABLE, ForwardWorld.COUNTERS, 1))
            .build();
    holder.update(configuration, world.context.now());

    ConfigurationHolder.Lookup.Allowed found =
        assertInstanceOf(
            ConfigurationHolder.Lookup.Allowed.class,
            holder.lookUp("example", "/a/b/c", Optional.empty()));

    assertEquals("/a/b/", found.route().pathPrefix());
  }
}
