package org.gatereel.forward.http;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RequestHeadTimeoutHandlerTest {
  private static final long LIMIT_MILLIS = 400;

  private RequestHeadTimeoutHandler guard;
  private EmbeddedChannel channel;

  @BeforeEach
  void open() {
    guard = new RequestHeadTimeoutHandler(LIMIT_MILLIS);
    channel = new EmbeddedChannel(guard, new HttpServerCodec(), new RequestHeadTimeoutHandler.ParsedMessageObserver());
    channel.freezeTime();
  }

  private void receive(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
  }

  private void pass(long millis) {
    channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
  }

  @Test
  void endsAConnectionWhoseHeadDoesNotCome() {
    receive("GET / HTTP/1.1\r\nHo");
    pass(LIMIT_MILLIS);

    ByteBuf answer = channel.readOutbound();
    assertTrue(answer.toString(StandardCharsets.US_ASCII).startsWith("HTTP/1.1 408 "));
    assertFalse(channel.isOpen());
  }

  @Test
  void leavesABodyItsTimeThatComesInPieces() {
    receive("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\n");
    receive("ab");
    pass(LIMIT_MILLIS);
    receive("cd");
    pass(LIMIT_MILLIS);

    assertTrue(channel.isOpen());
  }

  @Test
  void watchesTheNextHeadAfterABody() {
    receive("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab");
    receive("GET ");
    pass(LIMIT_MILLIS);

    assertFalse(channel.isOpen());
  }

  @Test
  void leavesARestingConnectionAlone() {
    receive("GET / HTTP/1.1\r\n\r\n");
    pass(10 * LIMIT_MILLIS);

    assertTrue(channel.isOpen());
  }

  /**
   * A caller that sent part of its next request while it waited for an answer was refused at once:
   * it took the refusal, which promises that nothing ran, for the answer that it waited for.
   */
  @Test
  void refusesNoHeadBeforeTheAnswersThatAreOwed() {
    receive("GET / HTTP/1.1\r\n\r\n");
    guard.deferTimeoutResponse();
    receive("GET / HT");
    pass(LIMIT_MILLIS);

    assertNull(channel.readOutbound());
    assertTrue(channel.isOpen());

    guard.allowTimeoutResponse();

    ByteBuf answer = channel.readOutbound();
    assertTrue(answer.toString(StandardCharsets.US_ASCII).startsWith("HTTP/1.1 408 "));
    assertFalse(channel.isOpen());
  }

  @Test
  void forgivesALateHeadThatIsWholeBeforeTheAnswersThatAreOwed() {
    receive("GET / HTTP/1.1\r\n\r\n");
    guard.deferTimeoutResponse();
    receive("GET / HT");
    pass(LIMIT_MILLIS);
    receive("TP/1.1\r\n\r\n");
    guard.allowTimeoutResponse();

    assertNull(channel.readOutbound());
    assertTrue(channel.isOpen());
  }
}
