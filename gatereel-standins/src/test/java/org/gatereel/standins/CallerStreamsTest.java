package org.gatereel.standins;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.hash.Hashing;
import java.io.IOException;
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

  /** The ports of the hosts for callers, by number; there is no host 0. */
  private static final int[] HTTP_PORTS = new int[4];

  private static int platform;

  @BeforeAll
  static void start() throws Exception {
    platform =
        FreePorts.start(
            OPEN,
            port -> new PlatformStandIn(port, new PlatformStandIn.Limits(1_000, 10_000, 10, 100)));
    int engine =
        FreePorts.start(
            OPEN,
            port ->
                new EngineStandIn(
                    port, new EngineStandIn.Settings("engine-1", 8, 2_000, 10, 1_000)));
    register(
        "targets",
        new TargetDescription(
            new TargetId("engine-1"),
            TargetKind.ENGINE,
            new ServiceName("assistant"),
            HALL,
            new Address("127.0.0.1", engine),
            8,
            LifeState.LIVE));
    startListedHost(1);
    startListedHost(2);
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

  /** Starts a host and returns where its peers reach it. */
  private static Address startHost(int host, List<AutoCloseable> open) throws Exception {
    int[] peerPort = new int[1];
    HTTP_PORTS[host] =
        FreePorts.start(
            open,
            port -> {
              peerPort[0] = FreePorts.one();
              return new Daemon(SettingsReader.parse(settings(host, port, peerPort[0])));
            });
    return new Address("127.0.0.1", peerPort[0]);
  }

  private static void startListedHost(int host) throws Exception {
    Address peer = startHost(host, OPEN);
    Address http = new Address("127.0.0.1", HTTP_PORTS[host]);
    register(
        "hosts",
        new HostDescription(new HostId("entry-" + host), HALL, peer, http, LifeState.LIVE));
  }

  private static String settings(int host, int port, int peerPort) {
    return """
        {"host": "entry-%d", "dataCentre": "ollur",
         "httpAddress": {"ip": "127.0.0.1", "port": %d},
         "peerAddress": {"ip": "127.0.0.1", "port": %d},
         "platform": {"ip": "127.0.0.1", "port": %d}, "logLevel": "WARNING",
         "operators": [{"name": "asha", "keySha256": "%s"}]}
        """
        .formatted(host, port, peerPort, platform, sha256("operator"));
  }

  private static String sha256(String text) {
    return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
  }

  private static void register(String kind, Object description) throws IOException {
    byte[] json = StandInServer.MAPPER.writeValueAsBytes(description);
    send(
        new Request.Builder()
            .url("http://127.0.0.1:" + platform + "/registry/" + kind)
            .put(RequestBody.create(json, MediaType.get("application/json"))));
  }

  private static String send(Request.Builder request) throws IOException {
    try (Response response = CLIENT.newCall(request.build()).execute()) {
      return response.code() + " " + response.body().string();
    }
  }

  private static Request.Builder asOperator(int host, String path) {
    return new Request.Builder()
        .url("http://127.0.0.1:" + HTTP_PORTS[host] + path)
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
    return RawStream.ask(HTTP_PORTS[host], version, AUTHORIZATION, body(tokens));
  }

  private static RawStream resume(int host, String lastId) throws IOException {
    String headers = AUTHORIZATION + "Last-Event-ID: " + lastId + "\r\n";
    return RawStream.ask(HTTP_PORTS[host], "HTTP/1.1", headers, body(ENDLESS));
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
    List<AutoCloseable> ending = new ArrayList<>();
    startHost(3, ending);
    awaitServing(3);
    try (RawStream stream = ask(3, version, ENDLESS).awaitTokens(20)) {
      ending.get(0).close();
      String read = stream.readToEnd();
      assertFalse(read.contains("event: end"), read);
      boolean cut = !read.contains(RawStream.LAST_CHUNK);
      boolean told = read.contains("event: problem\ndata: {\"type\":\"/problems/draining\"");
      assertTrue(cut || told, read.substring(Math.max(0, read.length() - 500)));
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
