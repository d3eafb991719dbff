package org.gatereel.secondreview;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * An engine sends a whole stream without a length, closes its connection in order, and is silent for
 * a second after that; the host has just got SIGHUP.
 *
 * <p>The rule is broken if the host ends a caller's connection without a complete answer.
 */
public final class SilentAfterStream {
  private static final int ENGINES = 8;
  private static final int ROUNDS = 6;
  private static final long SILENCE_MILLIS = 1_000;
  private static final long ROUND_MILLIS = 3_000;
  private static final long REMAINING_MILLIS = 25_000;

  private final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final Record record = new Record();
  private final Store store = new Store();

  /** Plays the case; the arguments are the file for the record and a temporary folder. */
  public static void main(String[] arguments) throws IOException {
    SilentAfterStream test = new SilentAfterStream();
    int result = test.record.judge(() -> test.run(Path.of(arguments[1])));
    test.record.write(Path.of(arguments[0]));
    System.exit(result);
  }

  private boolean run(Path temporary) throws IOException, InterruptedException {
    List<StreamingEngine> engines = new ArrayList<>();
    try (Store.Door door = store.door();
        Host host = new Host(temporary, "front-a-1", door.address())) {
      store.put("op", "config", Deployment.configuration(1));
      for (int number = 0; number < ENGINES; number++) {
        StreamingEngine engine =
            new StreamingEngine("i-engine-" + number, trouble ? SILENCE_MILLIS : 0);
        engines.add(engine);
        store.put("servers", engine.id(), engine.entry());
      }
      host.start();
      host.awaitReady();
      record.add("the host is ready");
      Thread.sleep(ROUND_MILLIS);
      int lost = 0;
      for (int round = 0; round < ROUNDS; round++) {
        long begunAt = Clock.millis();
        host.signal("HUP");
        record.addAt(begunAt, "the host gets SIGHUP");
        lost += isAnswered(host, "stream-" + round) ? 0 : 1;
        Clock.sleepUntil(begunAt + ROUND_MILLIS);
      }
      recordRuns(engines);
      String verdict =
          "%s: %d of %d streams ended without a complete answer"
              .formatted(lost == 0 ? "held" : "LOST broken", lost, ROUNDS);
      record.add(verdict);
      System.out.println(verdict);
      return lost == 0;
    } finally {
      engines.forEach(StreamingEngine::close);
    }
  }

  /** Sends a stream's request; returns whether its answer is complete. */
  private boolean isAnswered(Host host, String id) throws IOException {
    String request =
        Caller.request("POST", "/stream/x", id, REMAINING_MILLIS)
            .replace("\r\n\r\n", "\r\nX-Model: m\r\nX-Token-Counts: 100,140\r\n"
                + "X-Prompt-Prefix: 5c1e07a2:60," + Integer.toHexString(id.hashCode()) + ":40\r\n\r\n");
    long sentAt = Clock.millis();
    record.addAt(sentAt, id + " sent");
    try (Caller caller = new Caller(host.callers())) {
      Message answer = caller.exchange(request);
      record.add(
          id + " answered with " + answer.status() + " and " + events(answer) + " events, complete");
      return answer.status() == 200;
    } catch (IOException e) {
      record.add(
          id + " not answered: " + e.getMessage() + ", after " + (Clock.millis() - sentAt) + " ms");
      return false;
    }
  }

  private static long events(Message answer) {
    return new String(answer.body(), StandardCharsets.UTF_8)
        .lines()
        .filter(line -> line.startsWith("id:"))
        .count();
  }

  private void recordRuns(List<StreamingEngine> engines) {
    for (StreamingEngine engine : engines) {
      for (StreamingEngine.Run run : engine.runs()) {
        record.addAt(
            run.endedAt(),
            "%s run by %s from event %d on, whole, its connection closed in order"
                .formatted(run.request(), run.engine(), run.firstEvent()));
      }
    }
  }
}
