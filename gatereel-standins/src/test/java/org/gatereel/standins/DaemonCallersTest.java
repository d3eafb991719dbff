package org.gatereel.standins;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hashing;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.LifeState;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.model.TargetKind;
import org.gatereel.daemon.Daemon;
import org.gatereel.daemon.settings.SettingsReader;
import org.gatereel.standins.engine.EngineStandIn;
import org.gatereel.standins.load.GenerationCaller;
import org.gatereel.standins.platform.PlatformStandIn;
import org.gatereel.standins.service.ServiceStandIn;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What callers and operators get from one daemon, good requests and bad ones. */
class DaemonCallersTest {
  private static final MediaType JSON = MediaType.get("application/json");
  private static final String KEY = "caller";
  private static final String OPERATOR = "operator";
  private static final OkHttpClient CLIENT = new OkHttpClient();
  private static final List<AutoCloseable> OPEN = new ArrayList<>();
  private static final Pattern FIRST_EVENT_ID = Pattern.compile("id: [^~]+~([^~]+)~.*\n");
  private static String base;

  @BeforeAll
  static void start() throws Exception {
    int platform =
        FreePorts.start(
            OPEN,
            port -> new PlatformStandIn(port, new PlatformStandIn.Limits(1_000, 10_000, 10, 100)));
    int engine =
        FreePorts.start(
            OPEN,
            port ->
                new EngineStandIn(
                    port, new EngineStandIn.Settings("engine-1", 8, 1_000, 10, 1_000)));
    int service = FreePorts.start(OPEN, port -> new ServiceStandIn(port, "points-1", 1));
    register(platform, "engine-1", TargetKind.ENGINE, "assistant", engine);
    int fast =
        FreePorts.start(
            OPEN,
            port ->
                new EngineStandIn(port, new EngineStandIn.Settings("engine-2", 8, 1, 10, 1_000)));
    register(platform, "engine-2", TargetKind.ENGINE, "long", fast);
    register(platform, "points-1", TargetKind.PLAIN_SERVICE, "points", service);
    int daemon =
        FreePorts.start(OPEN, port -> new Daemon(SettingsReader.parse(settings(port, platform))));
    base = "http://127.0.0.1:" + daemon;
    assertEquals(503, get("/readyz").code());
    setRow("account/ward", "\"key_sha256\": \"" + sha256(KEY) + "\"");
    setRow("account/other", "\"key_sha256\": \"" + sha256("other") + "\"");
    setRow("service/assistant", "\"kind\": \"generation\", \"maximum_tokens\": \"100\"");
    setRow("service/long", "\"kind\": \"generation\", \"maximum_tokens\": \"100000\"");
    setRow("service/points", "\"kind\": \"call\"");
    awaitTrue(() -> get("/admin/status").body().contains("points-1"));
    assertEquals(200, get("/readyz").code());
  }

  @AfterAll
  static void stop() throws Exception {
    for (int index = OPEN.size() - 1; index >= 0; index--) {
      OPEN.get(index).close();
    }
  }

  private record Answer(int code, String body) {}

  private static String settings(int port, int platform) throws IOException {
    return """
        {"host": "entry-1", "dataCentre": "ollur", "mostBodyBytes": 65536,
         "mostWaitingBytes": 65536,
         "httpAddress": {"ip": "127.0.0.1", "port": %d},
         "peerAddress": {"ip": "127.0.0.1", "port": %d},
         "platform": {"ip": "127.0.0.1", "port": %d}, "logLevel": "WARNING",
         "operators": [{"name": "asha", "keySha256": "%s"}]}
        """
        .formatted(port, FreePorts.one(), platform, sha256(OPERATOR));
  }

  private static String sha256(String text) {
    return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
  }

  private static void register(int platform, String name, TargetKind kind, String service, int port)
      throws IOException {
    TargetDescription target =
        new TargetDescription(
            new TargetId(name),
            kind,
            new ServiceName(service),
            new DataCentre("ollur"),
            new Address("127.0.0.1", port),
            8,
            LifeState.LIVE);
    byte[] json = StandInServer.MAPPER.writeValueAsBytes(target);
    send(
        new Request.Builder()
            .url("http://127.0.0.1:" + platform + "/registry/targets")
            .put(RequestBody.create(json, JSON)));
  }

  private static Answer send(Request.Builder request) {
    try (Response response = CLIENT.newCall(request.build()).execute()) {
      return new Answer(response.code(), response.body().string());
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  private static Answer get(String path) {
    return send(
        new Request.Builder().url(base + path).header("Authorization", "Bearer " + OPERATOR));
  }

  private static Answer post(String path, String key, String idempotency, String body) {
    Request.Builder request =
        new Request.Builder()
            .url(base + path)
            .header("Authorization", "Bearer " + key)
            .post(RequestBody.create(body.getBytes(StandardCharsets.UTF_8), JSON));
    if (!idempotency.isEmpty()) {
      request.header("Idempotency-Key", idempotency);
    }
    return send(request);
  }

  private static Answer setRow(String row, String cells) {
    String body = "{\"editId\": \"" + row + "\", \"basedOn\": 0, \"cells\": {" + cells + "}}";
    return send(
        new Request.Builder()
            .url(base + "/admin/table/" + row)
            .header("Authorization", "Bearer " + OPERATOR)
            .put(RequestBody.create(body.getBytes(StandardCharsets.UTF_8), JSON)));
  }

  private static void awaitTrue(Supplier<Boolean> condition) {
    // With a pause between: to ask without one takes the processor from the daemon that is asked.
    await()
        .atMost(Duration.ofSeconds(10))
        .pollInterval(Duration.ofMillis(50))
        .until(condition::get);
  }

  private static String type(Answer answer) throws IOException {
    JsonNode problem = StandInServer.MAPPER.readTree(answer.body());
    assertEquals(answer.code(), problem.path("status").asInt());
    return problem.path("type").asText();
  }

  @Test
  void aGenerationIsStreamedWhole() throws Exception {
    GenerationCaller caller = new GenerationCaller(CLIENT, List.of(base), KEY, 5_000);
    GenerationCaller.Ending ending = caller.ask("assistant", "hello", 50, 0, Watchers.NONE);
    assertTrue(ending.whole(), ending.toString());
    assertEquals(0, ending.reconnects());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{broken | caller | /problems/malformed-body",
        "{} | caller | /problems/malformed-body",
        "{'service': 'assistant', 'prompt': 'x', 'maximumTokens': 0} | caller"
            + " | /problems/malformed-body",
        "{'service': 'assistant', 'prompt': 'x', 'maximumTokens': 101} | caller"
            + " | /problems/malformed-body",
        "{'service': 'nothing', 'prompt': 'x', 'maximumTokens': 1} | caller"
            + " | /problems/unknown-service",
        "{'service': 'points', 'prompt': 'x', 'maximumTokens': 1} | caller"
            + " | /problems/unknown-service",
        "{'service': 'assistant', 'prompt': 'x', 'maximumTokens': 1} | stranger"
            + " | /problems/unknown-account",
      })
  void aBadGenerationRequestIsATypedProblem(String body, String key, String type)
      throws IOException {
    Answer answer = post("/v1/generations", key, "", body.replace('\'', '"'));
    assertEquals(type, type(answer));
    assertTrue(answer.body().contains("NOT_RUN"));
  }

  @Test
  void aResumeByAnotherAccountIsRefused() throws Exception {
    String[] lastId = new String[1];
    GenerationCaller caller = new GenerationCaller(CLIENT, List.of(base), KEY, 5_000);
    caller.ask("assistant", "mine", 20, 0, Watchers.ids(id -> lastId[0] = id));
    Request.Builder resume =
        new Request.Builder()
            .url(base + "/v1/generations")
            .header("Authorization", "Bearer other")
            .header("Last-Event-ID", lastId[0]);
    assertEquals("/problems/wrong-account", type(send(resume)));
    Request.Builder garbled =
        new Request.Builder().url(base + "/v1/generations").header("Last-Event-ID", "seven");
    assertEquals("/problems/malformed-event-id", type(send(garbled)));
  }

  @Test
  void aCallThatMayNotBeRepeatedNeedsAKeyAndRunsOnce() throws IOException {
    assertEquals("/problems/missing-idempotency-key", type(post("/v1/calls/points", KEY, "", "x")));
    Answer first = post("/v1/calls/points", KEY, "key-1", "debit");
    Answer second = post("/v1/calls/points", KEY, "key-1", "debit");
    assertEquals(200, first.code());
    assertEquals(first, second);
    assertEquals("/problems/request-changed", type(post("/v1/calls/points", KEY, "key-1", "more")));
  }

  /** Reads the first event's id off a stream, byte by byte, and returns its request's id. */
  private static String firstRequest(InputStream stream) throws IOException {
    StringBuilder read = new StringBuilder();
    Matcher id = FIRST_EVENT_ID.matcher(read);
    while (!id.reset().find()) {
      int next = stream.read();
      assertTrue(next >= 0, "the stream ended before its first event: " + read);
      read.append((char) next);
    }
    return id.group(1);
  }

  @Test
  void aSlowReaderIsEndedAndHurtsNobodyElse() throws Exception {
    String body = "{\"service\": \"long\", \"prompt\": \"slow\", \"maximumTokens\": 90000}";
    String request =
        "POST /v1/generations HTTP/1.1\r\nHost: localhost\r\nAuthorization: Bearer "
            + KEY
            + "\r\nContent-Type: application/json\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body;
    try (Socket unread = new Socket()) {
      unread.setReceiveBufferSize(4_096);
      unread.connect(
          new InetSocketAddress(
              InetAddress.getLoopbackAddress(), Integer.parseInt(base.substring(17))));
      unread.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
      // Only this request's events count: the test before ends a generation in the same
      // millisecond.
      String slow = firstRequest(unread.getInputStream());
      // Until the whole answer was made, however long that takes: by then the reader must be gone.
      AtomicReference<String> seen = new AtomicReference<>("");
      await()
          .atMost(Duration.ofMinutes(2))
          .pollInterval(Duration.ofMillis(50))
          .until(
              () -> {
                seen.set(get("/admin/timeline?subject=" + slow).body());
                return seen.get().contains("CALLER_GONE")
                    || seen.get().contains("GENERATION_FINISHED");
              });
      assertTrue(seen.get().contains("CALLER_GONE"), "the whole answer was held for a slow reader");
      assertEquals(200, post("/v1/calls/points", KEY, "beside", "x").code());
    }
  }

  @Test
  void aBodyThatIsTooLargeIsATypedProblemAndHurtsNobodyElse() throws IOException {
    Answer answer = post("/v1/calls/points", KEY, "large", "x".repeat(200_000));
    assertEquals("/problems/body-too-large", type(answer));
    assertEquals(200, post("/v1/calls/points", KEY, "small", "x").code());
  }

  @Test
  void anUnknownPathAndAnUnknownOperatorAreTypedProblems() throws IOException {
    assertEquals("/problems/unknown-path", type(get("/v2/nothing")));
    Request.Builder stranger = new Request.Builder().url(base + "/admin/table");
    assertEquals("/problems/unknown-operator", type(send(stranger)));
  }

  @Test
  void anEditIsCheckedAndALostRaceShowsTheRowInForce() throws IOException {
    assertEquals("/problems/invalid-edit", type(setRow("service/x", "\"placement\": \"taste\"")));
    assertEquals(200, setRow("data-centre/vic", "\"data_centre_weight\": \"3\"").code());
    String body = "{\"editId\": \"late\", \"basedOn\": 0, \"cells\": {}}";
    Answer late =
        send(
            new Request.Builder()
                .url(base + "/admin/table/data-centre/vic")
                .header("Authorization", "Bearer " + OPERATOR)
                .put(RequestBody.create(body.getBytes(StandardCharsets.UTF_8), JSON)));
    assertEquals("/problems/lost-race", type(late));
    assertTrue(late.body().contains("data_centre_weight"));
    assertTrue(get("/admin/history").body().contains("asha"));
  }
}
