package org.gatereel.secondreview;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A sound model engine whose answers have no length and end with their connections.
 *
 * <p>After a whole run it may fall silent for a while: it accepts connections and answers none, and
 * then goes on.
 */
final class StreamingEngine implements AutoCloseable {
  private static final int EVENTS = 20;
  private static final long EVENT_MILLIS = 25;
  private static final String HEAD =
      """
      HTTP/1.1 200 OK\r
      Content-Type: text/event-stream\r
      Connection: close\r
      X-Attempt-Id: %s\r
      X-Response-Signature: signed.%s\r
      \r
      """;

  private final String id;
  private final long silenceMillis;
  private final List<Run> runs = new ArrayList<>();
  private final LoopbackServer server;
  private long silentUntil;

  /** One run; it is whole once all its events were sent and its connection was closed in order. */
  record Run(String engine, String request, long firstEvent, long endedAt) {}

  /** Makes an engine that is silent for a time after each whole run of some events. */
  StreamingEngine(String id, long silenceMillis) throws IOException {
    this.id = id;
    this.silenceMillis = silenceMillis;
    this.server = new LoopbackServer(this::respond);
  }

  static int events() {
    return EVENTS;
  }

  String id() {
    return id;
  }

  String entry() {
    return """
        {"service":"engines","address":"%s","zone":"a","version":"v1","slots":24,"state":"ready",
         "cold_remaining_ms":0,"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],
         "sequence":1}
        """
        .formatted(server.address());
  }

  synchronized List<Run> runs() {
    return List.copyOf(runs);
  }

  private synchronized long silentUntil() {
    return silentUntil;
  }

  private synchronized void recordRun(String request, int firstEvent) {
    runs.add(new Run(id, request, firstEvent, Clock.millis()));
    if (firstEvent <= EVENTS) {
      silentUntil = Clock.millis() + silenceMillis;
    }
  }

  private boolean respond(Message request, Socket connection)
      throws IOException, InterruptedException {
    Clock.sleepUntil(silentUntil());
    OutputStream output = connection.getOutputStream();
    String requestId = request.header("x-attempt-id");
    String expected = request.header("x-expect-instance");
    String echo = "X-Attempt-Id: " + requestId + "\r\n";
    if (!expected.isEmpty() && !expected.equals(id)) {
      output.write(Message.response(421, echo + "X-Instance-Id: " + id + "\r\n", ""));
    } else if (request.path().startsWith("/api/report")) {
      output.write(Message.response(200, "Content-Type: application/json\r\n", report()));
    } else if (!request.header("kv-from").isEmpty()) {
      // The copy went when the run had ended well.
      output.write(Message.response(503, echo + "X-Not-Executed: 1\r\n", ""));
    } else if (requestId.isEmpty()) {
      output.write(Message.response(400, "X-Not-Executed: 1\r\n", ""));
    } else {
      stream(requestId, request.header("last-event-id"), output);
      return false;
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

  private void stream(String requestId, String lastEvent, OutputStream output)
      throws IOException, InterruptedException {
    int firstEvent = lastEvent.isEmpty() ? 1 : Integer.parseInt(lastEvent) + 1;
    output.write(HEAD.formatted(requestId, id).getBytes(StandardCharsets.ISO_8859_1));
    for (int event = firstEvent; event <= EVENTS; event++) {
      Thread.sleep(EVENT_MILLIS);
      output.write("id: %d\ndata: %d\n\n".formatted(event, event).getBytes(StandardCharsets.UTF_8));
    }
    recordRun(requestId, firstEvent);
  }

  @Override
  public void close() {
    server.close();
  }
}
