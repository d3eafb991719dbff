package org.gatereel.adapters.targets;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.gatereel.adapters.HttpClients;
import org.gatereel.adapters.RawServer;
import org.gatereel.core.action.Action;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.LifeState;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.model.TargetKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Truncated responses of plain services must not be accepted as complete. */
class ServiceClientTest {
  private static final int TIMEOUT_MILLIS = 20_000;
  private static final String UNFRAMED = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

  /** Sends a call to a server with the given response and returns the outcome. */
  private static String call(String response, RawServer.CloseMode closeMode) throws Exception {
    try (HttpClients clients = new HttpClients();
        RawServer server = new RawServer(response, closeMode)) {
      RecordingTargetListener listener = new RecordingTargetListener();
      ServiceClient client = new ServiceClient(clients.unpooled(), listener);
      client.send(
          new Action.SendCall(1, target(server.address()), "call-1", "debit", TIMEOUT_MILLIS, 0));
      return listener.next();
    }
  }

  private static TargetDescription target(Address address) {
    return new TargetDescription(
        new TargetId("points-1"),
        TargetKind.PLAIN_SERVICE,
        new ServiceName("points"),
        new DataCentre("ollur"),
        address,
        8,
        LifeState.LIVE);
  }

  @Test
  void closeDelimitedResponseOfReachableServiceIsComplete() throws Exception {
    String response = UNFRAMED + "balance 12";
    assertEquals("answered 200 balance 12", call(response, RawServer.CloseMode.CLOSE));
  }

  @Test
  void closeDelimitedResponseOfCrashedServiceFails() throws Exception {
    // The truncated body would otherwise be stored under the Idempotency-Key as the response.
    assertEquals("failed RESET", call(UNFRAMED + "balance 12", RawServer.CloseMode.DIE));
  }

  @Test
  void invalidContentLengthIsIgnored() throws Exception {
    String response = "HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\nbalance 12";
    assertEquals("failed RESET", call(response, RawServer.CloseMode.DIE));
  }

  @Test
  void resetConnectionFailsTheCall() throws Exception {
    assertEquals("failed RESET", call(UNFRAMED + "balance 12", RawServer.CloseMode.RESET));
  }

  @ParameterizedTest
  @EnumSource(RawServer.CloseMode.class)
  void responseShorterThanContentLengthFails(RawServer.CloseMode closeMode) throws Exception {
    String response = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nbalance 12";
    assertEquals("failed RESET", call(response, closeMode));
  }

  @ParameterizedTest
  @EnumSource(RawServer.CloseMode.class)
  void responseWithoutLastChunkFails(RawServer.CloseMode closeMode) throws Exception {
    String response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nbalance 12\r\n";
    assertEquals("failed RESET", call(response, closeMode));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "Content-Length: 10|balance 12",
        "Transfer-Encoding: chunked|a;balance 12;0;;",
        "Transfer-Encoding: Chunked|a;balance 12;0;;",
      })
  void framedResponseIsCompleteEvenIfTheServiceCrashesAfterIt(String header, String body)
      throws Exception {
    String response = "HTTP/1.1 200 OK\r\n" + header + "\r\n\r\n" + body.replace(";", "\r\n");
    assertEquals("answered 200 balance 12", call(response, RawServer.CloseMode.DIE));
  }

  @Test
  void responseWithoutBodyIsComplete() throws Exception {
    assertEquals("answered 204 ", call("HTTP/1.1 204 No Content\r\n\r\n", RawServer.CloseMode.DIE));
  }

  /** Guards against taking a head that is none for a response. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 X|Content-Length: 2||",
        "HTTP/1.1 099 X|Content-Length: 2||",
        "HTTP/1.1 600 X|Content-Length: 2||",
        "HTTP/1.1 200 X|Content-Length: 2|X-A b: 1||",
        "HTTP/1.1 200 X|Content-Length: 2|X-A : 1||",
        "HTTP/1.1 200 X|Content-Length: 2|X-\u0001A: 1||",
      })
  void invalidHeadFailsTheCall(String head) throws Exception {
    String response = head.replace("|", "\r\n") + "ok";
    assertEquals("failed RESET", call(response, RawServer.CloseMode.CLOSE));
  }
}
