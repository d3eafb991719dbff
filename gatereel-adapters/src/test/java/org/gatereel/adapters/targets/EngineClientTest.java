package org.gatereel.adapters.targets;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Only the final event completes an engine's stream. */
class EngineClientTest {
  private static final String STREAM = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
  private static final String UNFRAMED = STREAM + "Connection: close\r\n\r\n";
  private static final String TOKENS =
      "event: token\ndata: {\"offset\":3,\"token\":\"a\",\"load\":1}\n\n"
          + "event: token\ndata: {\"offset\":4,\"token\":\"b\",\"load\":1}\n\n";
  private static final String END = "event: end\ndata: {\"length\":5}\n\n";

  /** Resumes a generation after three tokens and returns the outcome of the given response. */
  private static String run(String response, RawServer.CloseMode closeMode) throws Exception {
    try (HttpClients clients = new HttpClients();
        RawServer server = new RawServer(response, closeMode)) {
      RecordingTargetListener listener = new RecordingTargetListener();
      EngineClient client = new EngineClient(clients.streaming(), listener);
      GenerationSpec spec =
          new GenerationSpec(
              new RequestId("1"),
              new AccountId("ward"),
              new ServiceName("assistant"),
              "a long ledger",
              40,
              0);
      client.start(
          new Action.StartAttempt(spec, 1, target(server.address()), List.of("x", "y", "z")));
      return listener.firstNonToken();
    }
  }

  private static TargetDescription target(Address address) {
    return new TargetDescription(
        new TargetId("engine-1"),
        TargetKind.ENGINE,
        new ServiceName("assistant"),
        new DataCentre("ollur"),
        address,
        8,
        LifeState.LIVE);
  }

  private static String chunked(String body) {
    String length = Integer.toHexString(body.length());
    return STREAM + "Transfer-Encoding: chunked\r\n\r\n" + length + "\r\n" + body + "\r\n";
  }

  private static Stream<Arguments> truncations() {
    // Every position within and between events, up to the last line of the final event.
    return IntStream.range(0, (TOKENS + END).length())
        .boxed()
        .flatMap(
            length ->
                Stream.of(RawServer.CloseMode.values())
                    .map(closeMode -> Arguments.of(length, closeMode)));
  }

  @ParameterizedTest
  @MethodSource("truncations")
  void streamTruncatedBeforeItsFinalEventFails(int length, RawServer.CloseMode closeMode)
      throws Exception {
    String part = (TOKENS + END).substring(0, length);
    assertEquals("failed RESET", run(UNFRAMED + part, closeMode));
  }

  @ParameterizedTest
  @EnumSource(
      value = RawServer.CloseMode.class,
      names = {"CLOSE", "DIE"})
  void streamWithFinalEventIsFinishedWithoutProperFraming(RawServer.CloseMode closeMode)
      throws Exception {
    assertEquals("finished 5", run(UNFRAMED + TOKENS + END, closeMode));
    assertEquals("finished 5", run(chunked(TOKENS + END), closeMode));
  }

  @Test
  void completeResponseWithoutFinalEventFails() throws Exception {
    String whole = chunked(TOKENS) + "0\r\n\r\n";
    assertEquals("failed RESET", run(whole, RawServer.CloseMode.CLOSE));
    String empty = STREAM + "Content-Length: 0\r\n\r\n";
    assertEquals("failed RESET", run(empty, RawServer.CloseMode.CLOSE));
  }

  @Test
  void responseWithoutLastChunkFails() throws Exception {
    assertEquals("failed RESET", run(chunked(TOKENS), RawServer.CloseMode.DIE));
  }

  @ParameterizedTest
  @ValueSource(strings = {"application/json", "text/plain"})
  void responseOfAnotherContentTypeFails(String type) throws Exception {
    String response = "HTTP/1.1 200 OK\r\nContent-Type: " + type + "\r\n";
    String length = "Content-Length: " + END.length() + "\r\n\r\n";
    assertEquals("failed RESET", run(response + length + END, RawServer.CloseMode.CLOSE));
  }

  @Test
  void errorResponseFailsEvenIfItsBodyIsAFinalEvent() throws Exception {
    String response = "HTTP/1.1 500 Error\r\nContent-Type: text/event-stream\r\n";
    String length = "Content-Length: " + END.length() + "\r\n\r\n";
    assertEquals("failed ERROR", run(response + length + END, RawServer.CloseMode.CLOSE));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"{}", "{\"length\":null}", "{\"size\":5}", "null", "\"\"", "", "{\"length\":"})
  void finalEventWithoutLengthFails(String data) throws Exception {
    // A missing length must not be read as 0, and an empty event must not leave the attempt open.
    String response = UNFRAMED + "event: end\ndata: " + data + "\n\n";
    String ended = run(response, RawServer.CloseMode.CLOSE);
    assertEquals("failed", ended.replaceAll(" .*", ""), ended);
  }
}
