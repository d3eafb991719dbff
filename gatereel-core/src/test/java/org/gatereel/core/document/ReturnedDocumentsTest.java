package org.gatereel.core.document;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.gatereel.core.document.DocumentWorld.Disturbance;
import org.gatereel.core.document.DocumentWorld.Host;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Many hosts whose store returns from an older copy. */
class ReturnedDocumentsTest {
  private static final long START_MILLIS = 20_000;
  private static final long AWAY_MILLIS = 500;
  private static final long LOST_CHANGES = 40;
  private static final long RECOVERY_MILLIS = 5_000;
  private static final int SEEDS = 8;

  /** The reader reads the entries of hosts as often as after a start. */
  private static final int MAX_ADDITIONAL_READS = 4;

  private static DocumentWorld started(int hosts, long seed) {
    DocumentWorld world = new DocumentWorld(hosts, seed);
    for (int change = 0; change < 2 * LOST_CHANGES; change++) {
      world.change(DocumentKind.CONFIGURATION);
      world.change(DocumentKind.TARGETS);
      world.change(DocumentKind.HOSTS);
      world.change(DocumentKind.ROLLOUTS);
      world.change(DocumentKind.POISON);
    }
    world.advance(START_MILLIS + seed);
    return world;
  }

  private static void disturbAll(DocumentWorld world, Disturbance disturbance) {
    for (DocumentKind kind : DocumentKind.values()) {
      world.disturb(kind, disturbance);
    }
  }

  private static void takeAway(DocumentWorld world, long awayMillis, long lostChanges) {
    disturbAll(world, Disturbance.FAILING);
    world.advance(awayMillis);
    world.returnFromCopy(lostChanges);
    disturbAll(world, Disturbance.NONE);
  }

  /** Guards against changes that are out of force until the versions have passed their old mark. */
  @ParameterizedTest
  @ValueSource(ints = {1, 9, 30, 95})
  void changeAfterTheReturnIsInForceAtAllHostsWithinTheBound(int hosts) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      DocumentWorld world = started(hosts, seed);
      takeAway(world, AWAY_MILLIS, LOST_CHANGES);
      world.change(DocumentKind.CONFIGURATION);
      world.change(DocumentKind.TARGETS);
      world.advance(DocumentWorld.BOUND_MILLIS);
      for (Host host : world.hosts()) {
        for (DocumentKind kind :
            new DocumentKind[] {DocumentKind.CONFIGURATION, DocumentKind.TARGETS}) {
          assertEquals(world.version(kind), host.used(kind), host.name() + " " + kind + " " + seed);
        }
      }
    }
  }

  private static int readsAfter(int hosts, long seed, long awayMillis, long lostChanges) {
    DocumentWorld world = started(hosts, seed);
    takeAway(world, awayMillis, lostChanges);
    int before = world.storeReads();
    world.advance(RECOVERY_MILLIS);
    return world.storeReads() - before;
  }

  /** Guards against hosts that read the store one by one after its return. */
  @ParameterizedTest
  @ValueSource(ints = {1, 9, 30, 95})
  void returnCostsAsManyReadsAtAnyNumberOfHosts(int hosts) {
    for (long awayMillis : new long[] {100, AWAY_MILLIS, 1_500}) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        int afterOutage = readsAfter(hosts, seed, awayMillis, 0);
        int afterReturn = readsAfter(hosts, seed, awayMillis, LOST_CHANGES);
        String inputs = "seed " + seed + ", away for " + awayMillis + " ms";
        assertTrue(
            afterReturn <= afterOutage + MAX_ADDITIONAL_READS,
            inputs + ": " + afterReturn + " reads, " + afterOutage + " after an outage");
      }
    }
  }
}
