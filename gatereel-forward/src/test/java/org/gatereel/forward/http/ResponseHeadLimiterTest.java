package org.gatereel.forward.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a target that holds a request with bytes before a head that never comes. */
class ResponseHeadLimiterTest {
  private static final String RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
  private static final String INTERIM = "HTTP/1.1 102 Processing\r\n\r\n";

  private final ForwardLog log = new ForwardLog("test");
  private EmbeddedChannel channel;
  private ResponseRecorder recorder;
  private long now;

  @BeforeEach
  void open() {
    channel = new EmbeddedChannel();
    CoreContext context =
        new CoreContext(new HostId("test"), new DataCentre("north"), new SplittableRandom(1));
    recorder =
        new ResponseRecorder(new ControlThread(channel.eventLoop(), context, log), HttpMethod.GET);
    channel
        .pipeline()
        .addLast(new ResponseHeadLimiter(recorder, () -> now))
        .addLast(ResponseFraming.codec(HttpMethod.GET))
        .addLast(recorder);
    channel.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
  }

  @AfterEach
  void close() {
    channel.finishAndReleaseAll();
    log.close();
  }

  private void receive(String text) {
    if (channel.isOpen()) {
      channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {INTERIM, "\r\n", "\0", " ", "x", "HTTP/1.1 100 Continue\r\nA: b\r\n\r\n"})
  void bytesBeforeAHeadAreBounded(String text) {
    int sent = 0;
    while (channel.isOpen() && sent < 4 * ResponseHeadLimiter.MAX_BYTES) {
      receive(text.repeat(1_000));
      sent += 1_000 * text.length();
    }

    assertFalse(channel.isOpen());
    assertEquals("INVALID_RESPONSE", recorder.outcome());
  }

  @ParameterizedTest
  @ValueSource(strings = {INTERIM, "\r\n", "HTTP/1.1 200 OK\r\nA: ", "x"})
  void headThatNeverEndsIsBoundedInTime(String first) {
    receive(first);
    for (; channel.isOpen() && now < 2 * ResponseHeadLimiter.MAX_MILLIS; now += 50) {
      receive(first.length() > 4 ? "a" : first);
    }

    assertFalse(channel.isOpen());
    assertTrue(now <= ResponseHeadLimiter.MAX_MILLIS + 100, "closed after " + now);
    assertEquals("INVALID_RESPONSE", recorder.outcome());
  }

  @Test
  void headThatPausesForASecondIsAccepted() {
    receive(INTERIM.repeat(3) + "HTTP/1.1 200");
    now = 1_200;
    receive(RESPONSE.substring("HTTP/1.1 200".length()));

    assertEquals("body", recorder.body());
  }

  @Test
  void bodyIsNotBounded() {
    receive("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n");
    now = 2 * ResponseHeadLimiter.MAX_MILLIS;
    receive("b".repeat(200_000));

    assertEquals(200_000, recorder.body().length());
  }
}
