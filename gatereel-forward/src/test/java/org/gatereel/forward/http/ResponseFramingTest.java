package org.gatereel.forward.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.forward.ControlThread;
import org.gatereel.forward.log.ForwardLog;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against reporting a truncated response as complete. Each case has the outcome before and
 * after the target's graceful close; "open" is a response that is not yet complete.
 */
class ResponseFramingTest {
  private static final ForwardLog LOG = new ForwardLog("test");
  private EmbeddedChannel channel;
  private ResponseRecorder recorder;

  @BeforeEach
  void open() {
    channel = new EmbeddedChannel();
  }

  @AfterEach
  void close() {
    channel.finishAndReleaseAll();
  }

  @AfterAll
  static void closeLog() {
    LOG.close();
  }

  private void sendRequest(HttpMethod method) {
    CoreContext context =
        new CoreContext(new HostId("test"), new DataCentre("north"), new SplittableRandom(1));
    recorder = new ResponseRecorder(new ControlThread(channel.eventLoop(), context, LOG), method);
    channel.pipeline().addLast(ResponseFraming.codec(method)).addLast(recorder);
    channel.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/"));
  }

  private void receive(String text) {
    String bytes = text.replace("|", "\r\n");
    channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
  }

  private void closeByTarget() {
    channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
    channel.runPendingTasks();
  }

  private void check(
      String response, String body, String outcomeBeforeClose, String outcomeAfterClose) {
    receive(response);
    assertEquals(outcomeBeforeClose, recorder.outcome(), "while the connection is open");
    closeByTarget();
    assertEquals(outcomeAfterClose, recorder.outcome(), "after the target closed it");
    assertEquals(body, recorder.body());
    assertFalse(channel.isOpen());
  }

  @ParameterizedTest
  @CsvSource({
    "3|abc|0||, abc, LAST_CHUNK, LAST_CHUNK",
    "3|abc|0|Trailer: x||, abc, LAST_CHUNK, LAST_CHUNK",
    "3;extension=1|abc|0||, abc, LAST_CHUNK, LAST_CHUNK",
    "3|a, a, open, RESET",
    "3|abc, abc, open, RESET",
    "3|abc|, abc, open, RESET",
    "3|abc|0, abc, open, RESET",
    "3|abc|0|, abc, open, RESET",
    "3|abc|0|Trailer: x|, abc, open, RESET",
    "3|abc|what|, abc, INVALID_RESPONSE, INVALID_RESPONSE",
    "3|abc|-1|, abc, INVALID_RESPONSE, INVALID_RESPONSE",
    "3|abc||0||, abc, INVALID_RESPONSE, INVALID_RESPONSE",
    "3|abcd|0||, abc, INVALID_RESPONSE, INVALID_RESPONSE",
    "'', '', open, RESET",
  })
  void completesAChunkedResponseOnlyAtTheLastChunk(
      String chunks, String body, String outcomeBeforeClose, String outcomeAfterClose) {
    sendRequest(HttpMethod.GET);
    check(
        "HTTP/1.1 200 OK|Transfer-Encoding: chunked||" + chunks,
        body,
        outcomeBeforeClose,
        outcomeAfterClose);
  }

  @ParameterizedTest
  @CsvSource({
    "Content-Length: 3||abc, abc, LENGTH_REACHED, LENGTH_REACHED",
    "Content-Length: 0||, '', LENGTH_REACHED, LENGTH_REACHED",
    "Content-Length: 4||abc, abc, open, RESET",
    "Content-Length: 4||, '', open, RESET",
    "Content-Length: 2||abc, ab, LENGTH_REACHED, LENGTH_REACHED",
    "Content-Length: 3|Content-Length: 4||abc, '', INVALID_RESPONSE, INVALID_RESPONSE",
    "Content-Length: 3|Content-Length: 3||abc, '', INVALID_RESPONSE, INVALID_RESPONSE",
    "'Content-Length: 3, 4||abc', '', INVALID_RESPONSE, INVALID_RESPONSE",
    "Content-Length: -1||abc, '', INVALID_RESPONSE, INVALID_RESPONSE",
    "Content-Length: +3||abc, '', INVALID_RESPONSE, INVALID_RESPONSE",
    "Content-Length: x||abc, '', INVALID_RESPONSE, INVALID_RESPONSE",
    "Content-Length: ||abc, '', INVALID_RESPONSE, INVALID_RESPONSE",
    "Content-Length: 99999999999999999999||abc, '', INVALID_RESPONSE, INVALID_RESPONSE",
  })
  void completesAResponseWithALengthOnlyAtFullLength(
      String headersAndBody, String body, String outcomeBeforeClose, String outcomeAfterClose) {
    sendRequest(HttpMethod.GET);
    check("HTTP/1.1 200 OK|" + headersAndBody, body, outcomeBeforeClose, outcomeAfterClose);
  }

  @ParameterizedTest
  @CsvSource({
    "HTTP/1.1 200 OK|Transfer-Encoding: chunked|Content-Length: 3||3|abc|0||",
    "HTTP/1.1 200 OK|Content-Length: 3|Transfer-Encoding: chunked||3|abc|0||",
    "'HTTP/1.1 200 OK|Transfer-Encoding: gzip, chunked||3|abc|0||'",
    "HTTP/1.1 200 OK|Transfer-Encoding: gzip|Transfer-Encoding: chunked||3|abc|0||",
    "'HTTP/1.1 200 OK|Transfer-Encoding: chunked, gzip||3|abc|0||'",
    "'HTTP/1.1 200 OK|Transfer-Encoding: chunked, chunked||3|abc|0||'",
    "HTTP/1.1 200 OK|Transfer-Encoding: gzip||abc",
    "HTTP/1.1 200 OK|Transfer-Encoding: gzip|Content-Length: 3||abc",
    "HTTP/1.1 200 OK|Transfer-Encoding: identity||abc",
    "HTTP/1.1 200 OK|Transfer-Encoding: ||abc",
    "HTTP/1.0 200 OK|Transfer-Encoding: chunked||3|abc|0||",
    "HTTP/1.1 101 Switching Protocols|Upgrade: websocket||abc",
  })
  void rejectsAResponseWithAmbiguousFraming(String response) {
    sendRequest(HttpMethod.GET);
    check(response, "", "INVALID_RESPONSE", "INVALID_RESPONSE");
  }

  @ParameterizedTest
  @CsvSource({
    "GET, 200 OK||abc, abc, open, CONNECTION_CLOSED",
    "GET, 200 OK||, '', open, CONNECTION_CLOSED",
    "GET, 204 No Content||, '', LENGTH_REACHED, LENGTH_REACHED",
    "GET, 204 No Content|Content-Length: 3||, '', LENGTH_REACHED, LENGTH_REACHED",
    "GET, 204 No Content|Transfer-Encoding: chunked||, '', LENGTH_REACHED, LENGTH_REACHED",
    "GET, 205 Reset Content|Content-Length: 0||, '', LENGTH_REACHED, LENGTH_REACHED",
    "GET, 205 Reset Content||, '', open, CONNECTION_CLOSED",
    "GET, 304 Not Modified||, '', LENGTH_REACHED, LENGTH_REACHED",
    "GET, 304 Not Modified|Content-Length: 3||, '', LENGTH_REACHED, LENGTH_REACHED",
    "GET, 304 Not Modified|Transfer-Encoding: chunked||, '', LENGTH_REACHED, LENGTH_REACHED",
    "HEAD, 200 OK||, '', LENGTH_REACHED, LENGTH_REACHED",
    "HEAD, 200 OK|Content-Length: 3||, '', LENGTH_REACHED, LENGTH_REACHED",
    "HEAD, 200 OK|Transfer-Encoding: chunked||, '', LENGTH_REACHED, LENGTH_REACHED",
    "HEAD, 404 Not Found|Content-Length: 3||, '', LENGTH_REACHED, LENGTH_REACHED",
    "GET, 100 Continue||, '', open, RESET",
    "GET, 103 Early Hints|Link: x||, '', open, RESET",
    "HEAD, 100 Continue||, '', open, RESET",
    "GET, 100 Continue||HTTP/1.1 200 OK|Content-Length: 3||ab, ab, open, RESET",
    "GET, 100 Continue||HTTP/1.1 200 OK|Content-Length: 3||abc, abc, LENGTH_REACHED, LENGTH_REACHED",
    "GET, 100 Continue||HTTP/1.1 200 OK||abc, abc, open, CONNECTION_CLOSED",
    "HEAD, 100 Continue||HTTP/1.1 200 OK||, '', LENGTH_REACHED, LENGTH_REACHED",
    "GET, what||, '', INVALID_RESPONSE, INVALID_RESPONSE",
  })
  void determinesTheEndOfAResponseByMethodAndStatus(
      String method,
      String statusAndRest,
      String body,
      String outcomeBeforeClose,
      String outcomeAfterClose) {
    sendRequest(HttpMethod.valueOf(method));
    check("HTTP/1.1 " + statusAndRest, body, outcomeBeforeClose, outcomeAfterClose);
  }

  @ParameterizedTest
  @CsvSource({
    "Content-Length: 3||ab",
    "Transfer-Encoding: chunked||3|abc|0|",
    "X: y||abc",
  })
  void failsAnIncompleteResponseWhenThisHostCloses(String headersAndBody) {
    sendRequest(HttpMethod.GET);
    receive("HTTP/1.1 200 OK|" + headersAndBody);
    channel.close();

    assertEquals("RESET", recorder.outcome());
  }

  @Test
  void rejectsATunnel() {
    sendRequest(HttpMethod.CONNECT);
    check("HTTP/1.1 200 OK||abc", "", "INVALID_RESPONSE", "INVALID_RESPONSE");
  }
}
