package org.gatereel.secondreview;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A sound model engine that reads a prompt, answers with a stream, and may crash and return. */
final class CrashingEngine implements AutoCloseable {
  private static final int TOKENS_PER_MILLI = 8;
  private static final int TOKENS_PER_EVENT = 10;
  private static final long EVENT_MILLIS = 30;
  private static final long HEARTBEATS_MILLIS = 3_600;
  private static final String HEAD =
      """
      HTTP/1.1 200 OK\r
      Content-Type: text/event-stream\r
      Transfer-Encoding: chunked\r
      X-Attempt-Id: %s\r
      X-Response-Signature: signed.%s\r
      \r
      """;

  private final String name;
  private final Store store;
  private final Record record;
  private LoopbackServer server;
  private String id;
  private int starts;
  private final String path;
  private List<Long> beginnings = new ArrayList<>();

  /**
   * Starts an engine.
   *
   * @param path the end of the path whose streams are counted
   */
  CrashingEngine(String name, String path, Store store, Record record) throws IOException {
    this.name = name;
    this.path = path;
    this.store = store;
    this.record = record;
    start();
  }

  /** Starts a new incarnation with an id of its own. */
  private synchronized void start() throws IOException {
    starts++;
    id = name + "-" + starts;
    String own = id;
    server = new LoopbackServer((request, connection) -> respond(own, request, connection));
    store.put("servers", id, entry());
  }

  private String entry() {
    return """
        {"service":"engines","address":"%s","zone":"a","version":"v1","slots":24,"state":"ready",
         "cold_remaining_ms":0,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],
         "sequence":1}
        """
        .formatted(server.address());
  }

  /** Returns how many counted streams run here; 0 while the engine is down. */
  synchronized int running() {
    return beginnings.size();
  }

  /** Returns whether counted streams run here, all of which have begun since a time. */
  synchronized boolean runsOnlySince(long since) {
    return !beginnings.isEmpty() && beginnings.stream().allMatch(each -> each >= since);
  }

  private synchronized List<Long> begin(Long at) {
    beginnings.add(at);
    return beginnings;
  }

  private synchronized void end(List<Long> ownBeginnings, Long at) {
    ownBeginnings.remove(at);
  }

  /** Crashes; its entry goes after three heartbeats of silence, and a new incarnation starts. */
  synchronized void crash(long downMillis) {
    server.close();
    record.add(id + " crashes");
    String ended = id;
    id = "down";
    beginnings = new ArrayList<>();
    LoopbackServer.start(() -> comeBack(ended, downMillis));
  }

  private void comeBack(String ended, long downMillis) {
    try {
      Thread.sleep(HEARTBEATS_MILLIS);
      store.remove("servers", ended);
      Thread.sleep(downMillis - HEARTBEATS_MILLIS);
      start();
      record.add(id + " is back");
    } catch (IOException | InterruptedException e) {
      record.add(name + " does not return: " + e);
    }
  }

  private boolean respond(String own, Message request, Socket connection)
      throws IOException, InterruptedException {
    OutputStream output = connection.getOutputStream();
    String requestId = request.header("x-attempt-id");
    String echo = "X-Attempt-Id: " + requestId + "\r\n";
    String expected = request.header("x-expect-instance");
    if (!expected.isEmpty() && !expected.equals(own)) {
      output.write(Message.response(421, echo + "X-Instance-Id: " + own + "\r\n", ""));
    } else if (request.path().startsWith("/api/report")) {
      output.write(Message.response(200, "Content-Type: application/json\r\n", report()));
    } else if (!request.header("kv-from").isEmpty()) {
      output.write(Message.response(503, echo + "X-Not-Executed: 1\r\n", ""));
    } else if (requestId.isEmpty()) {
      output.write(Message.response(400, "X-Not-Executed: 1\r\n", ""));
    } else {
      stream(own, request, output);
    }
    return true;
  }

  private static String report() {
    return """
        {"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,
         "sequence":1,"waiting":0,"running":0,"kv_cache_used":0,"kv_cache_total":88000,
         "handles":0}
        """;
  }

  private void stream(String own, Message request, OutputStream output)
      throws IOException, InterruptedException {
    record.add(request.header("x-attempt-id") + " begins at " + own);
    if (!request.path().endsWith(path)) {
      sendStream(own, request, output);
      return;
    }
    Long begunAt = Clock.millis();
    List<Long> ownBeginnings = begin(begunAt);
    try {
      sendStream(own, request, output);
    } finally {
      end(ownBeginnings, begunAt);
    }
  }

  private void sendStream(String own, Message request, OutputStream output)
      throws IOException, InterruptedException {
    String requestId = request.header("x-attempt-id");
    String lastEvent = request.header("last-event-id");
    String[] tokens = request.header("x-token-counts").split(",");
    Thread.sleep(Integer.parseInt(tokens[0]) / TOKENS_PER_MILLI);
    output.write(HEAD.formatted(requestId, own).getBytes(StandardCharsets.ISO_8859_1));
    int first = lastEvent.isEmpty() ? 1 : Integer.parseInt(lastEvent) + 1;
    int events = Integer.parseInt(tokens[1]) / TOKENS_PER_EVENT;
    for (int event = first; event <= events; event++) {
      writeChunk(output, "id: %d\ndata: %d\n\n".formatted(event, event));
      Thread.sleep(EVENT_MILLIS);
    }
    output.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    record.add(requestId + " run to its end by " + own);
  }

  private static void writeChunk(OutputStream output, String text) throws IOException {
    String chunk = Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    output.write(chunk.getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public synchronized void close() {
    server.close();
  }
}
