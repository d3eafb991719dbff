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
  private static final long TIMEOUT_MILLIS = 400;

  private RequestHeadTimeoutHandler timeoutHandler;
  private EmbeddedChannel channel;

  @BeforeEach
  void open() {
    timeoutHandler = new RequestHeadTimeoutHandler(TIMEOUT_MILLIS);
    channel =
        new EmbeddedChannel(
            timeoutHandler,
            new HttpServerCodec(),
            new RequestHeadTimeoutHandler.ParsedMessageObserver());
    channel.freezeTime();
  }

  private void receive(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
  }

  private void advanceTime(long millis) {
    channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
  }

  @Test
  void closesAConnectionWithAnIncompleteHead() {
    receive("GET / HTTP/1.1\r\nHo");
    advanceTime(TIMEOUT_MILLIS);

    ByteBuf response = channel.readOutbound();
    assertTrue(response.toString(StandardCharsets.US_ASCII).startsWith("HTTP/1.1 408 "));
    assertFalse(channel.isOpen());
  }

  @Test
  void doesNotTimeOutWhileABodyIsReceived() {
    receive("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\n");
    receive("ab");
    advanceTime(TIMEOUT_MILLIS);
    receive("cd");
    advanceTime(TIMEOUT_MILLIS);

    assertTrue(channel.isOpen());
  }

  @Test
  void timesOutOnTheNextHeadAfterABody() {
    receive("POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab");
    receive("GET ");
    advanceTime(TIMEOUT_MILLIS);

    assertFalse(channel.isOpen());
  }

  @Test
  void doesNotTimeOutAnIdleConnection() {
    receive("GET / HTTP/1.1\r\n\r\n");
    advanceTime(10 * TIMEOUT_MILLIS);

    assertTrue(channel.isOpen());
  }

  /**
   * Guards against a 408 for a partial request being taken for the response to an earlier request,
   * which may have been executed.
   */
  @Test
  void delaysTheTimeoutResponseUntilNoResponseIsPending() {
    receive("GET / HTTP/1.1\r\n\r\n");
    timeoutHandler.deferTimeoutResponse();
    receive("GET / HT");
    advanceTime(TIMEOUT_MILLIS);

    assertNull(channel.readOutbound());
    assertTrue(channel.isOpen());

    timeoutHandler.allowTimeoutResponse();

    ByteBuf response = channel.readOutbound();
    assertTrue(response.toString(StandardCharsets.US_ASCII).startsWith("HTTP/1.1 408 "));
    assertFalse(channel.isOpen());
  }

  @Test
  void cancelsTheTimeoutResponseIfTheHeadIsCompleteInTheMeantime() {
    receive("GET / HTTP/1.1\r\n\r\n");
    timeoutHandler.deferTimeoutResponse();
    receive("GET / HT");
    advanceTime(TIMEOUT_MILLIS);
    receive("TP/1.1\r\n\r\n");
    timeoutHandler.allowTimeoutResponse();

    assertNull(channel.readOutbound());
    assertTrue(channel.isOpen());
  }
}
