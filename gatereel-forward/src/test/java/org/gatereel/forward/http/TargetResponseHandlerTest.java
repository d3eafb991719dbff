package org.gatereel.forward.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
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

/**
 * Guards against reporting a truncated response without length or chunks as complete. The decoder
 * reports every end of a connection alike; only the handler knows which side closed it.
 */
class TargetResponseHandlerTest {
  private static final String UNFRAMED = "HTTP/1.1 200 OK\r\n\r\npart";

  private final ForwardLog log = new ForwardLog("test");
  private EmbeddedChannel channel;
  private ResponseRecorder recorder;

  @BeforeEach
  void open() {
    channel = new EmbeddedChannel();
    CoreContext context =
        new CoreContext(new HostId("test"), new DataCentre("north"), new SplittableRandom(1));
    recorder =
        new ResponseRecorder(new ControlThread(channel.eventLoop(), context, log), HttpMethod.GET);
    channel.pipeline().addLast(ResponseFraming.codec(HttpMethod.GET)).addLast(recorder);
    channel.writeOutbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
  }

  @AfterEach
  void close() {
    channel.finishAndReleaseAll();
    log.close();
  }

  private void receive(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
  }

  private static void fail() {
    throw new IllegalStateException("simulated");
  }

  /** Guards against a request without a response because the head of the target's threw. */
  @Test
  void reportsErrorIfHeadCannotBeHandled() {
    recorder.setBeforeHead(TargetResponseHandlerTest::fail);

    receive("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart");

    assertEquals("ERROR", recorder.outcome());
    assertEquals("", recorder.body());
    assertFalse(channel.isOpen());
  }

  @Test
  void reportsErrorIfEndCannotBeHandled() {
    recorder.setBeforeEnd(TargetResponseHandlerTest::fail);

    receive("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart");

    assertEquals("ERROR", recorder.outcome());
  }

  private void closeByTarget() {
    channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
    channel.runPendingTasks();
  }

  @Test
  void completesAnUnframedResponseAtTheTargetsClose() {
    receive(UNFRAMED);
    closeByTarget();

    assertEquals("CONNECTION_CLOSED", recorder.outcome());
    assertEquals("part", recorder.body());
    assertFalse(channel.isOpen());
  }

  @Test
  void failsAnUnframedResponseWhenThisHostCloses() {
    receive(UNFRAMED);
    channel.close();

    assertEquals("RESET", recorder.outcome());
  }

  @Test
  void failsAnUnframedResponseAtAReset() {
    receive(UNFRAMED);
    channel.pipeline().fireExceptionCaught(new IOException("reset"));
    channel.runPendingTasks();

    assertEquals("RESET", recorder.outcome());
    assertFalse(channel.isOpen());
  }

  @Test
  void failsAtACloseBeforeTheHead() {
    closeByTarget();

    assertEquals("RESET", recorder.outcome());
    assertFalse(channel.isOpen());
  }

  @Test
  void failsAtACloseWithinAHead() {
    receive("HTTP/1.1 200 OK\r\nContent-Le");
    closeByTarget();

    assertFalse(channel.isOpen());
    assertEquals("INVALID_RESPONSE", recorder.outcome());
  }

  @Test
  void reportsNothingAfterStopReporting() {
    receive(UNFRAMED);
    recorder.stopReporting();
    closeByTarget();

    assertEquals("open", recorder.outcome());
    assertFalse(channel.isOpen());
  }
}
