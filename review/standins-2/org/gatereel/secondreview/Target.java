package org.gatereel.secondreview;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** A sound plain service that answers each request after some work and records what it ran. */
final class Target implements AutoCloseable {
  private final String id;
  private final long workMillis;
  private final List<Run> runs = new ArrayList<>();
  private final LoopbackServer server;

  /** One request that has begun to run here. */
  record Run(String target, String request, long at) {}

  Target(String id, long workMillis) throws IOException {
    this.id = id;
    this.workMillis = workMillis;
    this.server = new LoopbackServer(this::respond);
  }

  String id() {
    return id;
  }

  /** Returns this target's entry in the platform's store. */
  String entry(String service, String state) {
    return """
        {"service":"%s","address":"%s","zone":"a","version":"v1","slots":6,"state":"%s",
         "cold_remaining_ms":0,"sequence":1}
        """
        .formatted(service, server.address(), state);
  }

  synchronized List<Run> runs() {
    return List.copyOf(runs);
  }

  private synchronized void record(String request) {
    runs.add(new Run(id, request, Clock.millis()));
  }

  private boolean respond(Message request, Socket connection)
      throws IOException, InterruptedException {
    String requestId = request.header("x-attempt-id");
    String echo = "X-Attempt-Id: " + requestId + "\r\n";
    String expected = request.header("x-expect-instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      connection
          .getOutputStream()
          .write(Message.response(421, echo + "X-Instance-Id: " + id + "\r\n", ""));
      return true;
    }
    if (requestId.isEmpty()) {
      connection.getOutputStream().write(Message.response(400, "X-Not-Executed: 1\r\n", ""));
      return true;
    }
    record(requestId);
    Thread.sleep(workMillis);
    String signed = echo + "X-Response-Signature: signed." + id + "\r\n";
    connection.getOutputStream().write(Message.response(200, signed, "done " + requestId));
    return true;
  }

  @Override
  public void close() {
    server.close();
  }
}
