package org.gatereel.standins;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.hash.Hashing;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
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
import org.gatereel.standins.platform.PlatformStandIn;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Guards against an answer of a daemon that is made of a head whose connection ended within it, a
 * service's as well as a caller's.
 */
class TruncatedHeadsTest {
  private static final MediaType JSON = MediaType.get("application/json");
  private static final String KEY = "caller";
  private static final String OPERATOR = "operator";
  private static final int SOCKET_TIMEOUT_MILLIS = 10_000;
  private static final int STEP = 4;
  private static final OkHttpClient CLIENT =
      new OkHttpClient.Builder().readTimeout(1, TimeUnit.MINUTES).build();
  private static final List<AutoCloseable> OPEN = new ArrayList<>();
  private static final AtomicInteger EXECUTIONS = new AtomicInteger();
  private static volatile String cut = "";
  private static ServerSocket service;
  private static int daemon;

  @BeforeAll
  static void start() throws Exception {
    int platform =
        FreePorts.start(
            OPEN,
            port -> new PlatformStandIn(port, new PlatformStandIn.Limits(1_000, 10_000, 10, 100)));
    service = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    OPEN.add(service);
    Thread server = new Thread(TruncatedHeadsTest::serve, "service");
    server.setDaemon(true);
    server.start();
    register(platform);
    daemon =
        FreePorts.start(OPEN, port -> new Daemon(SettingsReader.parse(settings(port, platform))));
    setRow("account/ward", "\"key_sha256\": \"" + sha256(KEY) + "\"");
    setRow("service/points", "\"kind\": \"call\"");
    await()
        .atMost(Duration.ofSeconds(10))
        .pollInterval(Duration.ofMillis(50))
        .until(() -> statusPage().contains("points-1"));
  }

  @AfterAll
  static void stop() throws Exception {
    for (int index = OPEN.size() - 1; index >= 0; index--) {
      OPEN.get(index).close();
    }
  }

  /** Answers each call with the cut bytes, and closes. */
  private static void serve() {
    while (!service.isClosed()) {
      try (Socket socket = service.accept()) {
        if (readHead(socket.getInputStream()).startsWith("POST /call")) {
          EXECUTIONS.incrementAndGet();
        }
        socket.getOutputStream().write(cut.getBytes(StandardCharsets.US_ASCII));
        socket.shutdownOutput();
        socket.getInputStream().readAllBytes();
      } catch (IOException e) {
        // The listener or the daemon closed.
      }
    }
  }

  private static String readHead(InputStream input) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = input.read();
      if (next < 0) {
        throw new IOException("the request is truncated");
      }
      head.append((char) next);
    }
    return head.toString();
  }

  private static void register(int platform) throws IOException {
    TargetDescription target =
        new TargetDescription(
            new TargetId("points-1"),
            TargetKind.PLAIN_SERVICE,
            new ServiceName("points"),
            new DataCentre("ollur"),
            new Address("127.0.0.1", service.getLocalPort()),
            8,
            LifeState.LIVE);
    byte[] json = StandInServer.MAPPER.writeValueAsBytes(target);
    statusOf(
        new Request.Builder()
            .url("http://127.0.0.1:" + platform + "/registry/targets")
            .put(RequestBody.create(json, JSON)));
  }

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

  private static int statusOf(Request.Builder request) throws IOException {
    try (Response response = CLIENT.newCall(request.build()).execute()) {
      return response.code();
    }
  }

  private static Request.Builder request(String path, String key) {
    return new Request.Builder()
        .url("http://127.0.0.1:" + daemon + path)
        .header("Authorization", "Bearer " + key);
  }

  private static void setRow(String row, String cells) throws IOException {
    String body = "{\"editId\": \"" + row + "\", \"basedOn\": 0, \"cells\": {" + cells + "}}";
    assertEquals(
        200,
        statusOf(
            request("/admin/table/" + row, OPERATOR)
                .put(RequestBody.create(body.getBytes(StandardCharsets.UTF_8), JSON))));
  }

  private static String statusPage() throws IOException {
    try (Response response = CLIENT.newCall(request("/admin/status", OPERATOR).build()).execute()) {
      return response.body().string();
    }
  }

  private static int call(String idempotencyKey) throws IOException {
    return statusOf(
        request("/v1/calls/points", KEY)
            .header("Idempotency-Key", idempotencyKey)
            .post(RequestBody.create("debit".getBytes(StandardCharsets.UTF_8), JSON)));
  }

  @Test
  void aCallWhoseResponseIsCutInItsHeadIsNoSuccess() throws Exception {
    String head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nLoad: 3\r\n\r\n";
    cut = head;
    assertEquals(200, call("whole"));
    for (int length : List.of(9, 17, 26, 36, head.length() - 1)) {
      cut = head.substring(0, length);
      int before = EXECUTIONS.get();
      int status = call("cut-" + length);

      assertTrue(status >= 500, status + " for " + cut);
      assertEquals(before + 1, EXECUTIONS.get(), cut);
    }
  }

  @Test
  void aRequestCutInItsHeadIsNotExecuted() throws Exception {
    cut = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    String head =
        "POST /v1/calls/points HTTP/1.1\r\nHost: localhost\r\nAuthorization: Bearer "
            + KEY
            + "\r\nIdempotency-Key: half\r\nContent-Length: 0\r\n\r\n";
    int before = EXECUTIONS.get();
    for (int length = 0; length < head.length(); length += STEP) {
      String answer = answerTo(head.substring(0, length));

      assertFalse(answer.startsWith("HTTP/1.1 2"), answer);
      assertEquals(before, EXECUTIONS.get());
    }
  }

  /** Returns all that a caller receives who closes its own direction after these bytes. */
  private static String answerTo(String bytes) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), daemon)) {
      socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
      socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
      socket.shutdownOutput();
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }
}
