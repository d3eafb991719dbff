package org.gatereel.core.document;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.gatereel.core.document.DocumentWorld.Disturbance;
import org.gatereel.core.document.DocumentWorld.Host;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against changes that come late because another document, or another host, is disturbed.
 */
class DocumentBoundTest {
  private static final long CONTACT_MILLIS = 3_000;
  private static final long STEP_MILLIS = 50;
  private static final long DAY_MILLIS = 60_000;
  private static final long SILENCE_MILLIS = 1_000;
  private static final EnumSet<DocumentKind> URGENT =
      EnumSet.of(DocumentKind.CONFIGURATION, DocumentKind.TARGETS);

  private final Map<DocumentKind, Deque<Change>> changes = new EnumMap<>(DocumentKind.class);
  private final Map<DocumentKind, Long> disturbedAt = new EnumMap<>(DocumentKind.class);
  private final Map<Host, Long> silentAt = new HashMap<>();
  private final Map<Host, Long> silentUntil = new HashMap<>();

  private record Change(long version, long acknowledgedAt) {}

  @ParameterizedTest
  @CsvSource({"1, 1, 20", "4, 1, 40", "30, 1, 10", "4, 362, 362", "30, 42, 42"})
  void changeIsUsedWithinTheBoundWhileOtherDocumentsAreDisturbed(
      int hostCount, long firstSeed, long lastSeed) {
    for (long seed = firstSeed; seed <= lastSeed; seed++) {
      play(hostCount, seed);
    }
  }

  private void play(int hostCount, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    DocumentWorld world = new DocumentWorld(hostCount, seed);
    long start = world.now();
    URGENT.forEach(kind -> changes.put(kind, new ArrayDeque<>()));
    disturbedAt.clear();
    while (world.now() < start + DAY_MILLIS) {
      disturb(world, random);
      change(world, random);
      world.advance(STEP_MILLIS);
      check(world, start, "hosts=" + hostCount + " seed=" + seed);
    }
  }

  /** Only one of the urgent documents is disturbed at a time, so that the other is judged. */
  private void disturb(DocumentWorld world, SplittableRandom random) {
    for (DocumentKind kind : DocumentKind.values()) {
      if (random.nextInt(40) == 0) {
        Disturbance[] all = Disturbance.values();
        boolean otherDisturbed =
            URGENT.contains(kind)
                && URGENT.stream()
                    .anyMatch(
                        other -> other != kind && world.disturbance(other) != Disturbance.NONE);
        world.disturb(kind, otherDisturbed ? Disturbance.NONE : all[random.nextInt(all.length)]);
      }
      if (world.disturbance(kind) != Disturbance.NONE) {
        disturbedAt.put(kind, world.now() + STEP_MILLIS);
      }
    }
    for (Host host : world.hosts()) {
      if (random.nextInt(400) == 0) {
        silentUntil.put(host, world.now() + SILENCE_MILLIS);
      }
      boolean silent = silentUntil.getOrDefault(host, 0L) > world.now();
      host.setSilent(silent);
      if (silent) {
        silentAt.put(host, world.now() + STEP_MILLIS);
      }
    }
  }

  private void change(DocumentWorld world, SplittableRandom random) {
    for (DocumentKind kind : URGENT) {
      if (random.nextInt(30) == 0) {
        world.change(kind);
        changes.get(kind).add(new Change(world.version(kind), world.now()));
      }
    }
  }

  private void check(DocumentWorld world, long start, String play) {
    long now = world.now();
    for (DocumentKind kind : URGENT) {
      Deque<Change> known = changes.get(kind);
      while (known.size() > 1
          && secondOf(known).acknowledgedAt() < now - DocumentWorld.BOUND_MILLIS) {
        known.removeFirst();
      }
      boolean stable = now - disturbedAt.getOrDefault(kind, start) >= CONTACT_MILLIS;
      if (!stable
          || known.isEmpty()
          || known.peek().acknowledgedAt() >= now - DocumentWorld.BOUND_MILLIS) {
        continue;
      }
      for (Host host : world.hosts()) {
        boolean inTouch = now - silentAt.getOrDefault(host, start) >= CONTACT_MILLIS;
        assertTrue(
            !inTouch || host.used(kind) >= known.peek().version(),
            () ->
                "%s at %d: %s uses %s version %d, version %d was acknowledged at %d"
                    .formatted(
                        play,
                        now,
                        host.name(),
                        kind,
                        host.used(kind),
                        known.peek().version(),
                        known.peek().acknowledgedAt()));
      }
    }
  }

  private static Change secondOf(Deque<Change> known) {
    return known.stream().skip(1).findFirst().orElseThrow();
  }
}
