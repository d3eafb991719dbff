package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in for the platform's store: the calls rows-get and rows-tx on tables with one part. */
public final class Store implements AutoCloseable {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int READ_MILLIS = 4;
  private static final int WRITE_MILLIS = 5;
  private static final int MAX_ROWS = 500;

  private final Map<String, TreeMap<String, Row>> tables = new TreeMap<>();
  private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
  private final CaseRecord record;
  private long version;
  private volatile double slowness = 1;

  private record Row(String value, long version) {}

  public Store(CaseRecord record) throws IOException {
    this.record = record;
    Threads.start("store", this::accept);
  }

  public String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Makes every answer take this many times as long. */
  public void setSlowness(double factor) {
    slowness = factor;
    record.write("store", "answers take " + factor + " times as long");
  }

  /** Writes a row as the operator or an engine does; the return is the acknowledgement. */
  public synchronized void put(String table, String key, String value) {
    tables.computeIfAbsent(table, any -> new TreeMap<>()).put(key, new Row(value, ++version));
  }

  public synchronized void remove(String table, String key) {
    tables.get(table).remove(key);
    version++;
  }

  public synchronized String value(String table, String key) {
    Row row = tables.getOrDefault(table, new TreeMap<>()).get(key);
    return row == null ? "" : row.value();
  }

  public synchronized int count(String table) {
    return tables.getOrDefault(table, new TreeMap<>()).size();
  }

  private void accept() throws IOException {
    while (true) {
      Socket socket = listener.accept();
      Threads.start("store connection", () -> serve(socket));
    }
  }

  private void serve(Socket socket) throws IOException {
    try (socket) {
      BufferedInputStream input = new BufferedInputStream(socket.getInputStream());
      for (HttpMessage call = HttpMessage.read(input); call != null; call = HttpMessage.read(input)) {
        answer(call, socket.getOutputStream());
      }
    }
  }

  /** Takes effect halfway through the time of the answer. */
  private void answer(HttpMessage call, OutputStream output) throws IOException {
    boolean isWrite = call.target().startsWith("/api/rows-tx");
    long millis = Math.round((isWrite ? WRITE_MILLIS : READ_MILLIS) * slowness);
    Threads.sleep(millis / 2);
    boolean done = !isWrite || write(MAPPER.readTree(call.body()));
    String body = isWrite ? stamp(MAPPER.createObjectNode()) : rows(query(call.target()));
    Threads.sleep(millis - millis / 2);
    String head = done ? "HTTP/1.1 200 OK" : "HTTP/1.1 412 Precondition Failed";
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    output.write(
        (head + "\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII));
    output.write(bytes);
    output.flush();
  }

  private synchronized String stamp(ObjectNode answer) {
    return answer.put("ver", version).put("now_ms", Threads.nowMillis()).toString();
  }

  private synchronized String rows(Map<String, String> query) {
    ObjectNode answer = MAPPER.createObjectNode();
    ArrayNode rows = answer.putArray("rows");
    String table = query.get("table");
    var rest = tables.getOrDefault(table, new TreeMap<>()).tailMap(query.getOrDefault("from", ""));
    for (var row : rest.entrySet()) {
      if (rows.size() == MAX_ROWS) {
        break;
      }
      byte[] value = row.getValue().value().getBytes(StandardCharsets.UTF_8);
      rows.addObject()
          .put("table", table)
          .put("part", "")
          .put("private_key", row.getKey())
          .put("value", Base64.getEncoder().encodeToString(value))
          .put("ver", row.getValue().version());
    }
    answer.put("more", rest.size() > rows.size());
    return stamp(answer);
  }

  private synchronized boolean write(JsonNode transaction) {
    for (JsonNode condition : transaction.path("expected_revision")) {
      Row row =
          tables
              .getOrDefault(condition.path("table").asText(), new TreeMap<>())
              .get(condition.path("private_key").asText());
      if (condition.path("ver").asLong() != (row == null ? 0 : row.version())) {
        return false;
      }
    }
    long next = version + 1;
    for (JsonNode row : transaction.path("put")) {
      byte[] value = Base64.getDecoder().decode(row.path("value").asText());
      tables
          .computeIfAbsent(row.path("table").asText(), any -> new TreeMap<>())
          .put(
              row.path("private_key").asText(),
              new Row(new String(value, StandardCharsets.UTF_8), next));
    }
    for (JsonNode row : transaction.path("remove")) {
      tables
          .getOrDefault(row.path("table").asText(), new TreeMap<>())
          .remove(row.path("private_key").asText());
    }
    version = next;
    return true;
  }

  private static Map<String, String> query(String target) {
    Map<String, String> fields = new HashMap<>();
    for (String field : target.substring(target.indexOf('?') + 1).split("&")) {
      String[] parts = field.split("=", 2);
      fields.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
    }
    return fields;
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
