package org.gatereel.secondreview;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers ask for streams at one path, each with a prompt of its own. Four of 24 engines crash one
 * after the other before any stream has begun; later all hosts are killed and started again.
 *
 * <p>The rule is broken if under a quarter of the requests is served after the recovery, though a quarter
 * or more was served before.
 */
public final class HeldBackPath {
  private static final String PATH = "/2f";
  private static final String OTHER_PATH = "/7a";
  private static final long OTHERS_APART_MILLIS = 150;
  private static final long OTHERS_ALONE_MILLIS = 4_000;
  private static final long OTHERS_END_MILLIS = 500;
  private static final int HOSTS = 3;
  private static final int ENGINES = 24;
  private static final int CRASHES = 4;
  private static final long CRASH_DOWN_MILLIS = 4_500;
  private static final long CRASH_AFTER_MILLIS = 120;
  private static final long CRASHES_APART_MILLIS = 300;
  private static final int LONG_PROMPT_TOKENS = 14_400;
  private static final int LONG_ANSWER_TOKENS = 200;
  private static final int SHORT_PROMPT_TOKENS = 400;
  private static final int SHORT_ANSWER_TOKENS = 20;
  private static final int CALLERS_PER_HOST = 8;
  private static final long ROUND_MILLIS = 7_000;
  private static final long QUIET_MILLIS = 60_000;
  private static final long DOWN_MILLIS = 700;
  private static final long RECOVERY_MILLIS = 12_000;
  private static final long REMAINING_MILLIS = 25_000;

  private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final Record record = new Record();
  private final Store store = new Store();
  private volatile boolean othersAsk = true;
  private final AtomicInteger numbers = new AtomicInteger();
  private final List<Outcome> outcomes = new CopyOnWriteArrayList<>();

  private record Outcome(long sentAt, boolean served) {}

  /** Plays the case; the arguments are the file for the record and a temporary folder. */
  public static void main(String[] arguments) throws IOException {
    HeldBackPath test = new HeldBackPath();
    int result = test.record.judge(() -> test.run(Path.of(arguments[1])));
    test.record.write(Path.of(arguments[0]));
    System.exit(result);
  }

  private boolean run(Path temporary) throws IOException, InterruptedException {
    List<Host> hosts = new ArrayList<>();
    List<CrashingEngine> engines = new ArrayList<>();
    store.put("op", "config", Deployment.configuration(1));
    for (int number = 0; number < ENGINES; number++) {
      engines.add(new CrashingEngine("i-engine-" + number, PATH, store, record));
    }
    for (int number = 0; number < HOSTS; number++) {
      hosts.add(new Host(temporary, "front-a-" + number, store.door().address()));
    }
    startAll(hosts);
    for (Host host : hosts) {
      LoopbackServer.start(() -> askForOthers(host));
    }
    Thread.sleep(OTHERS_ALONE_MILLIS);
    ask(hosts, CALLERS_PER_HOST);
    Thread.sleep(ROUND_MILLIS + QUIET_MILLIS);
    for (int crash = 0; crash < CRASHES; crash++) {
      askWithCrash(hosts, engines);
    }
    Thread.sleep(ROUND_MILLIS);
    othersAsk = false;
    Thread.sleep(OTHERS_END_MILLIS);
    store.put("op", "config", Deployment.configuration(2));
    long finalFaultAt = Clock.millis();
    record.add("configuration 2 is acknowledged");
    if (trouble) {
      killAll(hosts);
    }
    long recoveredAt = Clock.millis() + RECOVERY_MILLIS;
    Clock.sleepUntil(recoveredAt);
    for (Host host : hosts) {
      if (!host.isRunning()) {
        throw new IOException("a host could not be started again");
      }
    }
    ask(hosts, CALLERS_PER_HOST);
    Thread.sleep(ROUND_MILLIS);
    boolean held = isHeld(finalFaultAt, recoveredAt);
    for (Host host : hosts) {
      host.close();
    }
    return held;
  }

  private void startAll(List<Host> hosts) throws IOException, InterruptedException {
    for (Host host : hosts) {
      host.start();
    }
    for (Host host : hosts) {
      host.awaitReady();
    }
    record.add("the hosts are ready");
    Thread.sleep(Deployment.CONTACT_MILLIS);
  }

  private void killAll(List<Host> hosts) throws IOException, InterruptedException {
    record.add("all hosts are killed");
    for (Host host : hosts) {
      host.kill();
    }
    Thread.sleep(DOWN_MILLIS);
    for (Host host : hosts) {
      host.start();
    }
    record.add("all hosts are started again");
  }

  /** Asks for a part of a round; the engine that has the most of it, and nothing else, crashes. */
  private void askWithCrash(List<Host> hosts, List<CrashingEngine> engines)
      throws IOException, InterruptedException {
    long since = Clock.millis();
    ask(hosts, CALLERS_PER_HOST / CRASHES);
    Thread.sleep(CRASH_AFTER_MILLIS);
    if (trouble) {
      awaitEngine(engines, since).crash(CRASH_DOWN_MILLIS);
    }
    Clock.sleepUntil(since + CRASHES_APART_MILLIS);
  }

  private static CrashingEngine awaitEngine(List<CrashingEngine> engines, long since)
      throws IOException, InterruptedException {
    while (Clock.millis() - since < CRASHES_APART_MILLIS) {
      var found =
          engines.stream()
              .filter(each -> each.runsOnlySince(since))
              .max(Comparator.comparingInt(CrashingEngine::running));
      if (found.isPresent()) {
        return found.get();
      }
      Thread.sleep(1);
    }
    throw new IOException("no engine has new streams alone");
  }

  private void ask(List<Host> hosts, int callers) {
    for (Host host : hosts) {
      for (int caller = 0; caller < callers; caller++) {
        LoopbackServer.start(
            () -> ask(host, "stream", PATH, LONG_PROMPT_TOKENS, LONG_ANSWER_TOKENS));
      }
    }
  }

  /** Asks for short streams at the tenant's other path, until shortly before the final fault. */
  private void askForOthers(Host host) {
    try {
      while (othersAsk) {
        ask(host, "other", OTHER_PATH, SHORT_PROMPT_TOKENS, SHORT_ANSWER_TOKENS);
        Thread.sleep(OTHERS_APART_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void ask(Host host, String name, String path, int promptTokens, int answerTokens) {
    int number = numbers.incrementAndGet();
    String id = "%s-%04d".formatted(name, number);
    String headers =
        "X-Model: m\r\nX-Token-Counts: %d,%d\r\nX-Prompt-Prefix: %x:200,%x:%d"
            .formatted(
                promptTokens,
                answerTokens,
                0x5c1e0000 + number,
                0x91bd0000L + number,
                promptTokens - 200);
    String request =
        Caller.request("POST", "/stream" + path, id, REMAINING_MILLIS)
            .replace("\r\n\r\n", "\r\n" + headers + "\r\n\r\n");
    long sentAt = Clock.millis();
    record.addAt(sentAt, id + " sent");
    boolean served = false;
    try (Caller caller = new Caller(host.callers())) {
      Message answer = caller.exchange(request);
      served = answer.status() == 200;
      record.add(id + " answered with " + answer.status());
    } catch (IOException e) {
      record.add(id + " not answered: " + e.getMessage());
    }
    outcomes.add(new Outcome(sentAt, served));
  }

  private boolean isHeld(long finalFaultAt, long recoveredAt) {
    long before = outcomes.stream().filter(each -> each.sentAt() < finalFaultAt).count();
    long servedBefore =
        outcomes.stream().filter(each -> each.sentAt() < finalFaultAt && each.served()).count();
    long after = outcomes.stream().filter(each -> each.sentAt() >= recoveredAt).count();
    long servedAfter =
        outcomes.stream().filter(each -> each.sentAt() >= recoveredAt && each.served()).count();
    boolean held = 4 * servedBefore < before || 4 * servedAfter >= after;
    String verdict =
        "%s: %d of %d served before the final fault, %d of %d after the recovery"
            .formatted(held ? "held" : "RECOVER broken", servedBefore, before, servedAfter, after);
    record.add(verdict);
    System.out.println(verdict);
    return held;
  }
}
