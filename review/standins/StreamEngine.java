package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A model engine that streams events, and that can crash and come back as a new incarnation. */
public final class StreamEngine {
  private static final long HEARTBEAT_MILLIS = 1_200;
  private static final int HEARTBEATS_KEPT = 3;
  private static final long PROMPT_MILLIS = 1_800;
  private static final long EVENT_MILLIS = 50;
  private static final int EVENTS = 60;

  private final String name;
  private final String service;
  private final String zone;
  private final Store store;
  private final CaseRecord record;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private ServerSocket listener;
  private int incarnation;
  private long sequence;

  public StreamEngine(String name, String service, String zone, Store store, CaseRecord record)
      throws IOException {
    this.name = name;
    this.service = service;
    this.zone = zone;
    this.store = store;
    this.record = record;
    start();
    Threads.start(name + " heartbeat", this::heartbeat);
  }

  private synchronized String id() {
    return name + "-" + incarnation;
  }

  private synchronized void start() throws IOException {
    incarnation++;
    listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    ServerSocket current = listener;
    String id = id();
    register();
    Threads.start(id, () -> accept(current, id));
  }

  private void heartbeat() {
    while (true) {
      Threads.sleep(HEARTBEAT_MILLIS);
      register();
    }
  }

  private synchronized void register() {
    if (!listener.isClosed()) {
      store.put(
          "servers",
          id(),
          """
          {"service":"%s","address":"127.0.0.1:%d","zone":"%s","version":"v1","slots":24,\
          "state":"ready","cold_remaining_ms":0,"stage":"both",\
          "models":[{"name":"m","version":1,"adapters":[]}],"sequence":%d}"""
              .formatted(service, listener.getLocalPort(), zone, ++sequence));
    }
  }

  /** Ends at once, resets all connections, and comes back after a time under a new id. */
  public void crash(long downMillis) throws IOException {
    String id;
    synchronized (this) {
      id = id();
      listener.close();
    }
    record.say(id, "crashes with " + connections.size() + " connections");
    for (Socket connection : Set.copyOf(connections)) {
      connection.setSoLinger(true, 0);
      connection.close();
    }
    Threads.start(id + " lapse", () -> {
      Threads.sleep(HEARTBEATS_KEPT * HEARTBEAT_MILLIS);
      store.remove("servers", id);
    });
    Threads.start(id + " return", () -> {
      Threads.sleep(downMillis);
      start();
      record.say(id(), "is back");
    });
  }

  private void accept(ServerSocket from, String id) throws IOException {
    while (true) {
      Socket socket = from.accept();
      connections.add(socket);
      Threads.start(id + " connection", () -> serve(socket, id));
    }
  }

  private void serve(Socket socket, String id) throws IOException {
    try (socket) {
      socket.setTcpNoDelay(true);
      HttpMessage request = HttpMessage.read(new BufferedInputStream(socket.getInputStream()));
      if (request != null) {
        answer(request, socket.getOutputStream(), id);
      }
    } finally {
      connections.remove(socket);
    }
  }

  private void answer(HttpMessage request, OutputStream output, String id) throws IOException {
    String expected = request.header("X-Expect-Instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      write(output, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + id
          + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    } else if (request.target().startsWith("/api/report")) {
      write(output, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}");
    } else {
      stream(request, output, id);
    }
  }

  private void stream(HttpMessage request, OutputStream output, String id) throws IOException {
    String attempt = request.header("X-Attempt-Id");
    String last = request.header("Last-Event-Id");
    record.write(id, "runs " + attempt);
    Threads.sleep(PROMPT_MILLIS);
    write(output, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Signature: " + id
        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n");
    for (int event = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; event <= EVENTS; event++) {
      String text = "id: " + event + "\ndata: x\n\n";
      write(output, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
      Threads.sleep(EVENT_MILLIS);
    }
    write(output, "0\r\n\r\n");
  }

  private static void write(OutputStream output, String text) throws IOException {
    output.write(text.getBytes(StandardCharsets.US_ASCII));
    output.flush();
  }
}
