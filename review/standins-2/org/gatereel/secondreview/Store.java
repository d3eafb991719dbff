package org.gatereel.secondreview;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's metadata store: rows with versions, transactions under conditions, reads of a
 * table. Hosts connect through a {@link Door}, which may be partitioned from the store.
 */
final class Store {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long CALL_MILLIS = 4;
  private static final int BACKLOG = 2;

  private final Map<String, TreeMap<String, Row>> tables = new TreeMap<>();
  private long version;

  private record Row(String value, long version) {}

  /** One way to the store; while it is cut, nothing that is sent gets a response. */
  final class Door implements AutoCloseable {
    private final LoopbackServer server = new LoopbackServer(this::respond, BACKLOG);
    private final List<String> calls = new ArrayList<>();
    private final List<String> cutCalls = new ArrayList<>();
    private boolean cut;

    private Door() throws IOException {}

    String address() {
      return server.address();
    }

    /** Begins a partition: new connections hang, and open ones that are used stay silent. */
    void cut() throws IOException {
      setCut(true);
      server.becomeUnreachable();
    }

    /** Ends the partition. */
    void heal() throws IOException {
      setCut(false);
      server.becomeReachable();
    }

    private synchronized void setCut(boolean value) {
      cut = value;
    }

    /** Returns how many calls have come with a text in their path, answered or not. */
    synchronized long calls(String text) {
      return calls.stream().filter(path -> path.contains(text)).count();
    }

    /** Returns how many of these calls came during a partition. */
    synchronized long cutCalls(String text) {
      return cutCalls.stream().filter(path -> path.contains(text)).count();
    }

    private synchronized boolean isLost(String path) {
      calls.add(path);
      if (cut) {
        cutCalls.add(path);
      }
      return cut;
    }

    private boolean respond(Message request, Socket connection)
        throws IOException, InterruptedException {
      if (isLost(request.path())) {
        Thread.sleep(Long.MAX_VALUE);
      }
      Thread.sleep(CALL_MILLIS);
      connection.getOutputStream().write(call(request));
      return true;
    }

    @Override
    public void close() {
      server.close();
    }
  }

  Door door() throws IOException {
    return new Door();
  }

  synchronized void put(String table, String key, String value) {
    tables.computeIfAbsent(table, name -> new TreeMap<>()).put(key, new Row(value, ++version));
  }

  synchronized void remove(String table, String key) {
    tables.getOrDefault(table, new TreeMap<>()).remove(key);
    version++;
  }

  private synchronized byte[] call(Message request) throws IOException {
    if (request.path().startsWith("/api/rows-tx")) {
      return transact(MAPPER.readTree(request.body()));
    }
    return Message.response(200, "", read(request.path()).toString());
  }

  private byte[] transact(JsonNode transaction) {
    for (JsonNode condition : transaction.path("expected_revision")) {
      Row row = row(condition);
      if (condition.path("ver").asLong() != (row == null ? 0 : row.version())) {
        return Message.response(412, "", stamp().toString());
      }
    }
    for (JsonNode row : transaction.path("put")) {
      byte[] value = Base64.getDecoder().decode(row.path("value").asText());
      put(
          row.path("table").asText(),
          row.path("private_key").asText(),
          new String(value, StandardCharsets.UTF_8));
    }
    for (JsonNode row : transaction.path("remove")) {
      remove(row.path("table").asText(), row.path("private_key").asText());
    }
    return Message.response(200, "", stamp().toString());
  }

  private Row row(JsonNode key) {
    return tables
        .getOrDefault(key.path("table").asText(), new TreeMap<>())
        .get(key.path("private_key").asText());
  }

  private ObjectNode read(String path) {
    String table = path.replaceAll(".*[?&]table=([^&]*).*", "$1");
    ObjectNode page = stamp();
    ArrayNode rows = page.putArray("rows");
    tables
        .getOrDefault(table, new TreeMap<>())
        .forEach(
            (key, row) ->
                rows.addObject()
                    .put("table", table)
                    .put("part", "")
                    .put("private_key", key)
                    .put("value", encode(row.value()))
                    .put("ver", row.version()));
    return page.put("more", false);
  }

  private static String encode(String value) {
    return Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
  }

  private ObjectNode stamp() {
    return MAPPER.createObjectNode().put("ver", version).put("now_ms", Clock.millis());
  }
}
