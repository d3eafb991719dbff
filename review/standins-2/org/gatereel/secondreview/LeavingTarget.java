package org.gatereel.secondreview;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A server leaves without saying {@code draining}, just after its host has reached the store again.
 *
 * <p>The rule is broken if the server gets a request later than {@code drain_ms} after its entry went,
 * from a host that has been in touch for {@code contact_ms}.
 */
public final class LeavingTarget {
  private static final long SETTLE_MILLIS = 1_500;
  private static final long WORK_MILLIS = 100;

  /** The cuts last differently, so that they end at different times between two tries of the host. */
  private static final int CYCLES = 8;

  private static final long MIN_CUT_MILLIS = 4_000;
  private static final long CUT_STEP_MILLIS = 150;
  private static final long LEAVES_AFTER_MILLIS = 50;

  /** A server serves on for {@code drain_ms} after its entry went, and a little longer. */
  private static final long SERVES_ON_MILLIS = Deployment.DRAIN_MILLIS + 300;

  private static final long LAST_ANSWERS_MILLIS = 600;
  private static final int CALLERS = 10;

  private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final Record record = new Record();
  private final Store store = new Store();
  private final AtomicBoolean stopped = new AtomicBoolean();
  private final AtomicLong requests = new AtomicLong();
  private final Set<String> succeeded = ConcurrentHashMap.newKeySet();

  /** Plays the case; the arguments are the file for the record and a temporary folder. */
  public static void main(String[] arguments) throws IOException {
    LeavingTarget test = new LeavingTarget();
    int result = test.record.judge(() -> test.run(Path.of(arguments[1])));
    test.record.write(Path.of(arguments[0]));
    System.exit(result);
  }

  private boolean run(Path temporary) throws IOException, InterruptedException {
    try (Store.Door door = store.door();
        Target first = new Target("i-first", WORK_MILLIS);
        Target second = new Target("i-second", WORK_MILLIS);
        Host host = new Host(temporary, "front-a-1", door.address())) {
      List<Target> targets = List.of(first, second);
      store.put("op", "config", Deployment.configuration(1));
      targets.forEach(
          target -> store.put("servers", target.id(), target.entry("points", "ready")));
      host.start();
      host.awaitReady();
      record.add("the host is ready");
      for (int caller = 0; caller < CALLERS; caller++) {
        LoopbackServer.start(() -> call(host));
      }
      boolean held = true;
      for (int cycle = 0; cycle < CYCLES; cycle++) {
        held &= leaveOnce(door, cycle);
      }
      stopped.set(true);
      return held;
    }
  }

  /** Has one more server leave; returns whether it got no request too late. */
  private boolean leaveOnce(Store.Door door, int cycle) throws IOException, InterruptedException {
    try (Target leaving = new Target("i-leaving-" + cycle, WORK_MILLIS)) {
      store.put("servers", leaving.id(), leaving.entry("points", "ready"));
      Thread.sleep(SETTLE_MILLIS);
      long cutMillis = MIN_CUT_MILLIS + cycle * CUT_STEP_MILLIS;
      long inTouchFrom =
          trouble ? cut(door, cutMillis) + Deployment.CONTACT_MILLIS : Clock.millis();
      awaitRead(door);
      Thread.sleep(LEAVES_AFTER_MILLIS);
      store.remove("servers", leaving.id());
      long leftAt = Clock.millis();
      record.add("the store acknowledges that " + leaving.id() + " has left");
      Clock.sleepUntil(leftAt + SERVES_ON_MILLIS);
      leaving.close();
      record.add(leaving.id() + " ends");
      Thread.sleep(LAST_ANSWERS_MILLIS);
      return isHeld(leaving, leftAt, inTouchFrom);
    }
  }

  /** Cuts the host off from the store; returns when the cut has ended. */
  private long cut(Store.Door door, long millis) throws IOException, InterruptedException {
    long begunAt = Clock.millis();
    record.addAt(begunAt, "the host is cut off from the store");
    door.cut();
    Clock.sleepUntil(begunAt + millis);
    door.heal();
    long endedAt = Clock.millis();
    record.addAt(endedAt, "the host reaches the store again, after " + (endedAt - begunAt) + " ms");
    return endedAt;
  }

  /** Waits until the store has answered one more read of its servers. */
  private static void awaitRead(Store.Door door) throws InterruptedException {
    long before = answeredReads(door);
    while (answeredReads(door) == before) {
      Thread.sleep(1);
    }
  }

  private static long answeredReads(Store.Door door) {
    return door.calls("table=servers") - door.cutCalls("table=servers");
  }

  private void call(Host host) {
    while (!stopped.get()) {
      long number = requests.incrementAndGet();
      String id = "request-%05d".formatted(number);
      boolean safe = number % 2 == 0;
      try (Caller caller = new Caller(host.callers())) {
        record.add(id + " sent, " + (safe ? "safe" : "unsafe"));
        Message response =
            caller.exchange(
                Caller.request(safe ? "GET" : "POST", safe ? "/safe/x" : "/once/x", id, 3_000));
        record.add(id + " answered with " + response.status());
        if (response.status() == 200) {
          succeeded.add(id);
        }
      } catch (IOException e) {
        record.add(id + " not answered: " + e.getMessage());
      }
      pause();
    }
  }

  private static void pause() {
    try {
      Thread.sleep(10);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean isHeld(Target leaving, long leftAt, long inTouchFrom) {
    List<Target.Run> runs = leaving.runs();
    runs.forEach(run -> record.addAt(run.at(), run.request() + " run by " + run.target()));
    List<Target.Run> late =
        runs.stream()
            .filter(run -> run.at() > leftAt + Deployment.DRAIN_MILLIS && run.at() > inTouchFrom)
            .toList();
    long lost = late.stream().filter(run -> !succeeded.contains(run.request())).count();
    long lastAt = runs.stream().mapToLong(Target.Run::at).max().orElse(leftAt);
    record.addAt(inTouchFrom, "the host is in touch from here on");
    String verdict =
        "%s: %d requests reached %s later than %d ms after it had left, the last after %d ms; %d were lost"
            .formatted(
                late.isEmpty() ? "held" : "DRAIN broken",
                late.size(),
                leaving.id(),
                Deployment.DRAIN_MILLIS,
                lastAt - leftAt,
                lost);
    record.add(verdict);
    System.out.println(verdict);
    return late.isEmpty();
  }
}
