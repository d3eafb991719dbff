package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A target of a plain service, which also registers itself in the store. */
public final class Engine implements AutoCloseable {
  private static final long HEARTBEAT_MILLIS = 1_200;

  private final String id;
  private final String service;
  private final String zone;
  private final String version;
  private final Store store;
  private final CaseRecord record;
  private final Work work;
  private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
  private volatile String state = "ready";
  private volatile boolean ended;
  private long sequence;

  /** Makes the answer to one request. */
  public interface Work {
    Answer run(Engine engine, HttpMessage request);
  }

  /** What an engine answers to a request that it has run. */
  public record Answer(String status, byte[] body) {
    public static Answer ok(byte[] body) {
      return new Answer("200 OK", body);
    }
  }

  public Engine(
      String id, String service, String zone, String version, Store store, CaseRecord record, Work work)
      throws IOException {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.version = version;
    this.store = store;
    this.record = record;
    this.work = work;
    register();
    Threads.start(id, this::accept);
    Threads.start(id + " heartbeat", this::heartbeat);
  }

  public String id() {
    return id;
  }

  public String service() {
    return service;
  }

  public String version() {
    return version;
  }

  private void heartbeat() {
    while (!ended) {
      Threads.sleep(HEARTBEAT_MILLIS);
      register();
    }
  }

  private synchronized void register() {
    if (ended) {
      return;
    }
    store.put(
        "servers",
        id,
        """
        {"service":"%s","address":"127.0.0.1:%d","zone":"%s","version":"%s","slots":24,\
        "state":"%s","cold_remaining_ms":0,"sequence":%d}"""
            .formatted(service, listener.getLocalPort(), zone, version, state, ++sequence));
  }

  private void accept() throws IOException {
    while (true) {
      Socket socket = listener.accept();
      Threads.start(id + " connection", () -> serve(socket));
    }
  }

  private void serve(Socket socket) throws IOException {
    try (socket) {
      socket.setTcpNoDelay(true);
      BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
      for (HttpMessage next = HttpMessage.read(input); next != null; next = HttpMessage.read(input)) {
        answer(next, socket.getOutputStream());
      }
    }
  }

  private void answer(HttpMessage request, OutputStream output) throws IOException {
    String expected = request.header("X-Expect-Instance");
    if (!expected.isEmpty() && !expected.equals(id)) {
      send(output, "421 Misdirected Request", "X-Instance-Id: " + id + "\r\n", new byte[0]);
      return;
    }
    if (request.target().equals("/health")) {
      send(output, "200 OK", "X-Instance-Id: " + id + "\r\n", new byte[0]);
      return;
    }
    String attempt = request.header("X-Attempt-Id");
    if (attempt.isEmpty()) {
      send(output, "400 Bad Request", "X-Not-Executed: 1\r\n", new byte[0]);
      return;
    }
    record.write(id, "runs " + attempt);
    Answer answer = work.run(this, request);
    send(
        output,
        answer.status(),
        "X-Attempt-Id: " + attempt + "\r\nX-Response-Signature: " + id + "." + attempt + "\r\n",
        answer.body());
  }

  private static void send(OutputStream output, String status, String headers, byte[] body)
      throws IOException {
    String head = "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n";
    output.write(head.getBytes(StandardCharsets.US_ASCII));
    output.write(body);
    output.flush();
  }

  @Override
  public void close() throws IOException {
    ended = true;
    listener.close();
  }
}
