package org.gatereel.standins;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.hash.Hashing;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostDescription;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.LifeState;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.model.TargetKind;
import org.gatereel.daemon.Daemon;
import org.gatereel.daemon.settings.SettingsReader;
import org.gatereel.standins.engine.EngineStandIn;
import org.gatereel.standins.platform.PlatformStandIn;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What callers see on their connections of a stream that is whole, and of one that is not. */
class CallerStreamsTest {
  private static final OkHttpClient CLIENT = new OkHttpClient();
  private static final List<AutoCloseable> OPEN = new ArrayList<>();
  private static final DataCentre HALL = new DataCentre("ollur");
  private static final String AUTHORIZATION = "Authorization: Bearer caller\r\n";
  private static final int ENDLESS = 100_000;
  private static List<Integer> ports;

  @BeforeAll
  static void start() throws Exception {
    ports = freePorts(8);
    OPEN.add(new PlatformStandIn(ports.get(0), new PlatformStandIn.Limits(1_000, 10_000, 10, 100)));
    OPEN.add(
        new EngineStandIn(
            ports.get(1), new EngineStandIn.Settings("engine-1", 8, 2_000, 10, 1_000)));
    register(
        "targets",
        new TargetDescription(
            new TargetId("engine-1"),
            TargetKind.ENGINE,
            new ServiceName("assistant"),
            HALL,
            new Address("127.0.0.1", ports.get(1)),
            8,
            LifeState.LIVE));
    for (int host = 1; host <= 2; host++) {
      Address http = new Address("127.0.0.1", httpPort(host));
      Address peer = new Address("127.0.0.1", ports.get(2 * host + 1));
      register(
          "hosts",
          new HostDescription(new HostId("entry-" + host), HALL, peer, http, LifeState.LIVE));
    }
    OPEN.add(daemon(1));
    OPEN.add(daemon(2));
    setRow("account/ward", "\"key_sha256\": \"" + sha256("caller") + "\"");
    setRow("service/assistant", "\"kind\": \"generation\", \"maximum_tokens\": \"100000\"");
    awaitServing(1);
    awaitServing(2);
  }

  @AfterAll
  static void stop() throws Exception {
    for (int index = OPEN.size() - 1; index >= 0; index--) {
      OPEN.get(index).close();
    }
  }

  private static List<Integer> freePorts(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
    }
    List<Integer> free = sockets.stream().map(ServerSocket::getLocalPort).toList();
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return free;
  }

  private static int httpPort(int host) {
    return ports.get(2 * host);
  }

  private static Daemon daemon(int host) throws Exception {
    String settings =
        """
        {"host": "entry-%d", "dataCentre": "ollur",
         "httpAddress": {"ip": "127.0.0.1", "port": %d},
         "peerAddress": {"ip": "127.0.0.1", "port": %d},
         "platform": {"ip": "127.0.0.1", "port": %d}, "logLevel": "WARNING",
         "operators": [{"name": "asha", "keySha256": "%s"}]}
        """
            .formatted(
                host, httpPort(host), ports.get(2 * host + 1), ports.get(0), sha256("operator"));
    return new Daemon(SettingsReader.parse(settings));
  }

  private static String sha256(String text) {
    return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
  }

  private static void register(String kind, Object description) throws IOException {
    byte[] json = StandInServer.MAPPER.writeValueAsBytes(description);
    send(
        new Request.Builder()
            .url("http://127.0.0.1:" + ports.get(0) + "/registry/" + kind)
            .put(RequestBody.create(json, MediaType.get("application/json"))));
  }

  private static String send(Request.Builder request) throws IOException {
    try (Response response = CLIENT.newCall(request.build()).execute()) {
      return response.code() + " " + response.body().string();
    }
  }

  private static Request.Builder asOperator(int host, String path) {
    return new Request.Builder()
        .url("http://127.0.0.1:" + httpPort(host) + path)
        .header("Authorization", "Bearer operator");
  }

  private static void setRow(String row, String cells) throws IOException {
    String body = "{\"editId\": \"" + row + "\", \"basedOn\": 0, \"cells\": {" + cells + "}}";
    RequestBody json = RequestBody.create(body, MediaType.get("application/json"));
    await()
        .atMost(Duration.ofSeconds(20))
        .pollInterval(Duration.ofMillis(50))
        .until(() -> send(asOperator(1, "/admin/table/" + row).put(json)).startsWith("200"));
  }

  private static void awaitServing(int host) {
    await()
        .atMost(Duration.ofSeconds(20))
        .pollInterval(Duration.ofMillis(50))
        .until(
            () ->
                send(asOperator(host, "/admin/status")).contains("engine-1")
                    && send(asOperator(host, "/admin/table")).contains("maximum_tokens"));
  }

  private static RawStream ask(int host, String version, int tokens) throws IOException {
    return RawStream.ask(httpPort(host), version, AUTHORIZATION, body(tokens));
  }

  private static RawStream resume(int host, String lastId) throws IOException {
    String headers = AUTHORIZATION + "Last-Event-ID: " + lastId + "\r\n";
    return RawStream.ask(httpPort(host), "HTTP/1.1", headers, body(ENDLESS));
  }

  private static String body(int tokens) {
    return "{\"service\": \"assistant\", \"prompt\": \"a ledger\", \"maximumTokens\": "
        + tokens
        + "}";
  }

  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1", "HTTP/1.0"})
  void aWholeStreamEndsWithItsFinalEvent(String version) throws Exception {
    try (RawStream stream = ask(1, version, 5)) {
      String read = stream.readToEnd();
      assertEquals(5, stream.tokenIds().size());
      assertTrue(
          read.contains("event: end\ndata: {\"tokens\":5}\n\n" + RawStream.LAST_CHUNK), read);
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"HTTP/1.1", "HTTP/1.0"})
  void aStreamWhoseHostEndsIsCutOrSaysSo(String version) throws Exception {
    // A host was stopped before its streams were through. They were ended in order, with their last
    // chunk, where the connections were not closed before.
    try (Daemon ending = daemon(3)) {
      awaitServing(3);
      try (RawStream stream = ask(3, version, ENDLESS).awaitTokens(20)) {
        ending.close();
        String read = stream.readToEnd();
        assertFalse(read.contains("event: end"), read);
        boolean cut = !read.contains(RawStream.LAST_CHUNK);
        boolean told = read.contains("event: problem\ndata: {\"type\":\"/problems/draining\"");
        assertTrue(cut || told, read.substring(Math.max(0, read.length() - 500)));
      }
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2})
  void aStreamThatGoesOnInAnotherAnswerSaysSo(int host) throws Exception {
    // A caller came back while its first answer was still open, at the same host or another one.
    // The first was ended in order, with its last chunk and without any event: to whoever
    // trusts the framing, a whole answer that broke off in the middle.
    try (RawStream first = ask(1, "HTTP/1.1", ENDLESS).awaitTokens(20);
        RawStream second = resume(host, first.lastId()).awaitTokens(20)) {
      String read = first.readToEnd();
      assertFalse(read.contains("event: end"), read);
      int problem = read.indexOf("event: problem\ndata: {\"type\":\"/problems/superseded\"");
      assertTrue(problem > 0, read.substring(Math.max(0, read.length() - 500)));
      assertEquals(problem, read.lastIndexOf("event: "), "something came after the problem");
      assertFalse(second.tokenIds().isEmpty());
    }
  }

  @Test
  void anAnswerThatGoesOnElsewhereAndTheOneBeforeAreOfTheSameTokens() throws Exception {
    try (RawStream first = ask(1, "HTTP/1.1", ENDLESS).awaitTokens(20);
        RawStream second = resume(2, first.lastId()).awaitTokens(200)) {
      first.readToEnd();
      Set<String> offsets = new HashSet<>();
      Set<String> events = new HashSet<>(first.tokenIds());
      events.addAll(second.tokenIds());
      // An id has the offset and a digest of all tokens before it: two of one offset would differ
      // if the answers did.
      events.forEach(event -> assertTrue(offsets.add(event.split("~")[0]), event));
      assertEquals(new HashSet<>(first.tokenIds()).size(), first.tokenIds().size());
      assertEquals(new HashSet<>(second.tokenIds()).size(), second.tokenIds().size());
    }
  }
}
