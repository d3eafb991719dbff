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
 * Callers were given answers as complete that were cut. So each way in which an answer may be
 * framed is listed here with what is reported of it, once as it stands and once as its target then
 * ends the connection in order; "open" is an answer that is still waited for.
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

  private void ask(HttpMethod method) {
    CoreContext context =
        new CoreContext(new HostId("test"), new DataCentre("north"), new SplittableRandom(1));
    recorder = new ResponseRecorder(new ControlThread(channel.eventLoop(), context, LOG), method);
    channel.pipeline().addLast(ResponseFraming.codec()).addLast(recorder);
    channel.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, "/"));
  }

  private void receive(String text) {
    String bytes = text.replace("|", "\r\n");
    channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
  }

  private void endByTarget() {
    channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
    channel.runPendingTasks();
  }

  private void check(String answer, String body, String before, String after) {
    receive(answer);
    assertEquals(before, recorder.outcome(), "while the connection stands");
    endByTarget();
    assertEquals(after, recorder.outcome(), "after its end");
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
    "3|abc|what|, abc, ERROR, ERROR",
    "3|abc|-1|, abc, ERROR, ERROR",
    "3|abc||0||, abc, ERROR, ERROR",
    "3|abcd|0||, abc, ERROR, ERROR",
    "'', '', open, RESET",
  })
  void takesOnlyTheLastChunkForTheEndOfChunks(
      String chunks, String body, String before, String after) {
    ask(HttpMethod.GET);
    check("HTTP/1.1 200 OK|Transfer-Encoding: chunked||" + chunks, body, before, after);
  }

  @ParameterizedTest
  @CsvSource({
    "Content-Length: 3||abc, abc, LENGTH_REACHED, LENGTH_REACHED",
    "Content-Length: 0||, '', LENGTH_REACHED, LENGTH_REACHED",
    "Content-Length: 4||abc, abc, open, RESET",
    "Content-Length: 4||, '', open, RESET",
    "Content-Length: 2||abc, ab, LENGTH_REACHED, LENGTH_REACHED",
    "Content-Length: 3|Content-Length: 4||abc, '', ERROR, ERROR",
    "Content-Length: 3|Content-Length: 3||abc, '', ERROR, ERROR",
    "'Content-Length: 3, 4||abc', '', ERROR, ERROR",
    "Content-Length: -1||abc, '', ERROR, ERROR",
    "Content-Length: +3||abc, '', ERROR, ERROR",
    "Content-Length: x||abc, '', ERROR, ERROR",
    "Content-Length: ||abc, '', ERROR, ERROR",
    "Content-Length: 99999999999999999999||abc, '', ERROR, ERROR",
  })
  void takesOnlyTheWholeLengthForTheEndOfALength(
      String rest, String body, String before, String after) {
    ask(HttpMethod.GET);
    check("HTTP/1.1 200 OK|" + rest, body, before, after);
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
  void takesNothingOfAnAnswerWhoseFramingIsInDoubt(String answer) {
    ask(HttpMethod.GET);
    check(answer, "", "ERROR", "ERROR");
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
    "GET, what||, '', ERROR, ERROR",
  })
  void knowsAnAnswersEndByMethodAndStatus(
      String method, String rest, String body, String before, String after) {
    ask(HttpMethod.valueOf(method));
    check("HTTP/1.1 " + rest, body, before, after);
  }

  @ParameterizedTest
  @CsvSource({
    "Content-Length: 3||ab",
    "Transfer-Encoding: chunked||3|abc|0|",
    "X: y||abc",
  })
  void takesNoUnfinishedAnswerForWholeAtACloseOfThisHost(String rest) {
    ask(HttpMethod.GET);
    receive("HTTP/1.1 200 OK|" + rest);
    channel.close();

    assertEquals("RESET", recorder.outcome());
  }

  @Test
  void takesNoTunnelForAnAnswer() {
    ask(HttpMethod.CONNECT);
    check("HTTP/1.1 200 OK||abc", "", "ERROR", "ERROR");
  }
}
