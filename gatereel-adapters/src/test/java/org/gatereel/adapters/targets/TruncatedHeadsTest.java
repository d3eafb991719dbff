package org.gatereel.adapters.targets;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.gatereel.adapters.HttpClients;
import org.gatereel.adapters.RawServer;
import org.gatereel.core.action.Action;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.GenerationSpec;
import org.gatereel.core.model.LifeState;
import org.gatereel.core.model.RequestId;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.model.TargetKind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against results that are read from a response whose connection ended within its head. */
class TruncatedHeadsTest {
  private static final int TIMEOUT_MILLIS = 20_000;
  private static final List<RawServer.CloseMode> CLOSE_MODES =
      List.of(RawServer.CloseMode.CLOSE, RawServer.CloseMode.RESET);

  private HttpClients clients;

  @BeforeEach
  void open() {
    clients = new HttpClients();
  }

  @AfterEach
  void close() {
    clients.close();
  }

  private static TargetDescription target(TargetKind kind, Address address) {
    return new TargetDescription(
        new TargetId("i-1"),
        kind,
        new ServiceName("points"),
        new DataCentre("north"),
        address,
        8,
        LifeState.LIVE);
  }

  private String call(Address address) throws InterruptedException {
    RecordingTargetListener listener = new RecordingTargetListener();
    new ServiceClient(clients.unpooled(), listener)
        .send(
            new Action.SendCall(
                1,
                target(TargetKind.PLAIN_SERVICE, address),
                "call-1",
                "debit",
                TIMEOUT_MILLIS,
                0));
    return listener.next();
  }

  private String generate(Address address) throws InterruptedException {
    RecordingTargetListener listener = new RecordingTargetListener();
    GenerationSpec spec =
        new GenerationSpec(
            new RequestId("1"),
            new AccountId("ward"),
            new ServiceName("points"),
            "a long ledger",
            40,
            0);
    new EngineClient(clients.streaming(), listener)
        .start(new Action.StartAttempt(spec, 1, target(TargetKind.ENGINE, address), List.of()));
    return listener.next();
  }

  private interface Query {
    String result(Address address) throws InterruptedException;
  }

  private static void assertFailsAtEveryByte(String lines, Query query) throws Exception {
    String head = lines.replace("|", "\r\n");
    for (RawServer.CloseMode closeMode : CLOSE_MODES) {
      for (int length = 0; length < head.length(); length++) {
        String cut = head.substring(0, length);
        try (RawServer server = new RawServer(cut, closeMode)) {
          assertEquals("failed RESET", query.result(server.address()), closeMode + ": " + cut);
        }
      }
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK|Content-Length: 0||",
        "HTTP/1.1 200 OK|Transfer-Encoding: chunked||",
        "HTTP/1.1 200 OK|Load: 3||",
        "HTTP/1.0 200 OK|Load: 3||",
        "HTTP/1.1 204 No Content|Load: 3||",
        "HTTP/1.1 503 Full|Content-Length: 0||",
        "HTTP/1.1 103 Early Hints|Link: x||HTTP/1.1 200 OK|Content-Length: 0||",
        "HTTP/1.1 200 OK|X-A: b| c: d|Content-Length: 0||",
      })
  void aCallFails(String head) throws Exception {
    assertFailsAtEveryByte(head, this::call);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK|Content-Type: text/event-stream|Transfer-Encoding: chunked||",
        "HTTP/1.0 200 OK|Content-Type: text/event-stream||",
        "HTTP/1.1 204 No Content||",
        "HTTP/1.1 503 Full|Content-Length: 0||",
      })
  void aGenerationFails(String head) throws Exception {
    assertFailsAtEveryByte(head, this::generate);
  }
}
