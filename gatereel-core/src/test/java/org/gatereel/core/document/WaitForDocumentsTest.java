package org.gatereel.core.document;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.gatereel.core.document.DocumentWorld.Disturbance;
import org.gatereel.core.document.DocumentWorld.Host;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests that an old copy decides after a pause, and against the cost of knowing
 * better: additional reads, and delays at hosts that are cut off.
 */
class WaitForDocumentsTest {
  private static final long SEEDS = 20;
  private static final long WARM_UP_MILLIS = 5_000;
  private static final long PAUSE_MILLIS = 2_600;
  private static final long REQUEST_INTERVAL_MILLIS = 10;
  private static final long REMAINING_MILLIS = 3_000;
  private static final long MAX_WAIT_MILLIS = 500;
  private static final DocumentKind KIND = DocumentKind.CONFIGURATION;

  private final List<Request> requests = new ArrayList<>();

  /** A request that needs the configuration. */
  private static final class Request {
    private final long receivedAt;
    private long endedAt = -1;
    private long usedVersion = -1;

    private Request(long receivedAt) {
      this.receivedAt = receivedAt;
    }

    private boolean isRefused() {
      return endedAt >= 0 && usedVersion < 0;
    }
  }

  private void send(DocumentWorld world, Host host) {
    Request request = new Request(world.now());
    requests.add(request);
    Runnable use =
        () -> {
          request.endedAt = world.now();
          request.usedVersion = host.used(KIND);
        };
    if (host.freshness().isUncertain(KIND)) {
      host.freshness().await(KIND, REMAINING_MILLIS, use, () -> request.endedAt = world.now());
    } else {
      use.run();
    }
  }

  private void sendFor(DocumentWorld world, Host host, long millis) {
    for (long end = world.now() + millis; world.now() < end; ) {
      send(world, host);
      world.advance(REQUEST_INTERVAL_MILLIS);
    }
  }

  private static void disturbAll(DocumentWorld world, Disturbance disturbance) {
    for (DocumentKind kind : DocumentKind.values()) {
      world.disturb(kind, disturbance);
    }
  }

  private static Host paused(DocumentWorld world, boolean isReader) {
    Host host =
        world.hosts().stream().filter(any -> any.isReader() == isReader).findFirst().orElseThrow();
    host.setSilent(true);
    return host;
  }

  private void assertAllAnsweredInTime(String play) {
    for (Request request : requests) {
      long waited = request.endedAt - request.receivedAt;
      assertTrue(request.endedAt >= 0 && waited <= MAX_WAIT_MILLIS + 1, play + " " + waited);
    }
  }

  @ParameterizedTest
  @CsvSource({"1, true", "4, true", "4, false"})
  void requestAfterAPauseIsNotDecidedByTheOldCopyBesideASlowStore(
      int hostCount, boolean pausesReader) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      DocumentWorld world = new DocumentWorld(hostCount, seed);
      world.advance(WARM_UP_MILLIS + 37 * seed);
      Host host = paused(world, pausesReader);
      world.change(KIND);
      world.advance(PAUSE_MILLIS);
      disturbAll(world, Disturbance.SLOW);
      host.resume();
      requests.clear();
      sendFor(world, host, 4_000);
      world.advance(MAX_WAIT_MILLIS);

      String play = "seed=" + seed;
      assertAllAnsweredInTime(play);
      assertEquals(0, requests.stream().filter(any -> any.usedVersion == 1).count(), play);
      assertEquals(world.version(KIND), requests.get(requests.size() - 1).usedVersion, play);
    }
  }

  /** All hosts of the data centre stand still, so that no other host knows more. */
  @Test
  void requestAfterAPauseOfAllHostsIsNotDecidedByTheOldCopyBesideASlowStore() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      DocumentWorld world = new DocumentWorld(4, seed);
      world.advance(WARM_UP_MILLIS + 37 * seed);
      world.hosts().forEach(host -> host.setSilent(true));
      world.change(KIND);
      world.advance(PAUSE_MILLIS);
      disturbAll(world, Disturbance.SLOW);
      world.hosts().forEach(Host::resume);
      requests.clear();
      sendFor(world, world.hosts().get((int) (seed % 4)), 4_000);
      world.advance(MAX_WAIT_MILLIS);

      assertAllAnsweredInTime("seed=" + seed);
      assertEquals(0, requests.stream().filter(any -> any.usedVersion == 1).count());
    }
  }

  /** Each reader stands still when a host that asks it has just gone on. */
  @Test
  void requestAfterAPauseIsNotDecidedByTheOldCopyWhileTheReaderIsSilent() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      DocumentWorld world = new DocumentWorld(4, seed);
      world.advance(WARM_UP_MILLIS + 37 * seed);
      Host host = paused(world, false);
      world.change(KIND);
      world.advance(PAUSE_MILLIS);
      world.hosts().stream().filter(Host::isReader).forEach(reader -> reader.setSilent(true));
      host.resume();
      requests.clear();
      sendFor(world, host, 4_000);

      assertAllAnsweredInTime("seed=" + seed);
      assertEquals(0, requests.stream().filter(any -> any.usedVersion == 1).count());
      assertEquals(0, requests.stream().filter(Request::isRefused).count());
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 9, 30})
  void hostsThatRunMakeNoAdditionalReads(int hostCount) {
    DocumentWorld idle = new DocumentWorld(hostCount, 1);
    idle.advance(60_000);
    DocumentWorld busy = new DocumentWorld(hostCount, 1);
    for (long end = busy.now() + 60_000; busy.now() < end; ) {
      busy.hosts().forEach(host -> send(busy, host));
      busy.advance(REQUEST_INTERVAL_MILLIS);
    }

    assertEquals(idle.storeReads(), busy.storeReads());
    assertTrue(requests.stream().allMatch(any -> any.endedAt == any.receivedAt));
  }

  @ParameterizedTest
  @EnumSource(names = {"FAILING", "SILENT"})
  void hostThatIsCutOffServesWithoutDelayAfterItsFirstFailedRefresh(Disturbance disturbance) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      DocumentWorld world = new DocumentWorld(4, seed);
      world.advance(WARM_UP_MILLIS + 37 * seed);
      disturbAll(world, disturbance);
      Host host = world.hosts().get((int) (seed % 4));
      requests.clear();
      sendFor(world, host, 3_000);
      int settled = requests.size();
      sendFor(world, host, 30_000);

      assertEquals(0, requests.stream().filter(Request::isRefused).count());
      assertAllAnsweredInTime("seed=" + seed);
      assertEquals(
          List.of(),
          requests.subList(settled, requests.size()).stream()
              .filter(any -> any.endedAt != any.receivedAt)
              .map(any -> any.receivedAt)
              .toList());
    }
  }

  /** What fails at once shows a host that is cut off; silence does one bound after the pause. */
  @ParameterizedTest
  @CsvSource({"FAILING, 300", "SILENT, 2500"})
  void hostThatIsCutOffServesAgainAfterAPause(Disturbance disturbance, long limitMillis) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      DocumentWorld world = new DocumentWorld(4, seed);
      world.advance(WARM_UP_MILLIS + 37 * seed);
      world.hosts().forEach(host -> host.setSilent(true));
      world.advance(PAUSE_MILLIS);
      disturbAll(world, disturbance);
      world.hosts().forEach(Host::resume);
      long resumedAt = world.now();
      requests.clear();
      sendFor(world, world.hosts().get((int) (seed % 4)), 20_000);

      assertAllAnsweredInTime("seed=" + seed);
      String play = "seed=" + seed;
      requests.stream()
          .filter(any -> any.receivedAt >= resumedAt + limitMillis)
          .forEach(
              any -> assertEquals(any.receivedAt, any.endedAt, play + " resumed=" + resumedAt));
    }
  }
}
