package org.gatereel.forward.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import org.gatereel.core.forward.ConfigurationKeeper;
import org.gatereel.core.forward.Refusal;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.statement.Announcements;
import org.junit.jupiter.api.Test;

class CallerAnswerTest {
  private static final String LAST_CHUNK = "0\r\n\r\n";

  private EmbeddedChannel channel = new EmbeddedChannel(new HttpServerCodec());

  private CallerAnswer answerTo(HttpMethod method, HttpVersion version) {
    channel.writeInbound(
        Unpooled.copiedBuffer(method + " / " + version + "\r\n\r\n", StandardCharsets.US_ASCII));
    CoreContext context =
        new CoreContext(new HostId("test"), new DataCentre("north"), new SplittableRandom(1));
    ConfigurationKeeper configuration =
        new ConfigurationKeeper(context, new ConfigurationKeeper.Bounds(true, 5_000, 2_000));
    CallerServer server = new CallerServer(null, configuration, null, null);
    CallerConnection connection = new CallerConnection(server, channel, new SlowHeadGuard(400));
    FullHttpRequest request = new DefaultFullHttpRequest(version, method, "/");
    return new CallerAnswer(connection, channel, request, version.isKeepAliveDefault());
  }

  private CallerAnswer beginStream() {
    CallerAnswer answer = answerTo(HttpMethod.POST, HttpVersion.HTTP_1_1);
    answer.begin(head(HttpResponseStatus.OK, true));
    answer.write(bytes("id: 1\n\n"));
    return answer;
  }

  private static TargetHead head(HttpResponseStatus status, boolean stream, String... lengths) {
    HttpHeaders headers = new DefaultHttpHeaders();
    for (String length : lengths) {
      headers.set("content-length", length);
    }
    return new TargetHead(status, headers, false, true, stream, Announcements.NONE);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  private String written() {
    StringBuilder text = new StringBuilder();
    for (ByteBuf next = channel.readOutbound(); next != null; next = channel.readOutbound()) {
      text.append(next.toString(StandardCharsets.US_ASCII));
      next.release();
    }
    return text.toString();
  }

  @Test
  void endsAStreamByItsLastChunkAlone() {
    CallerAnswer answer = beginStream();
    answer.write(new byte[0]);

    assertFalse(written().contains(LAST_CHUNK));

    answer.finish();

    assertEquals(LAST_CHUNK, written());
    assertTrue(channel.isOpen());
  }

  @Test
  void writesNothingAfterAnAnswerIsBrokenOff() {
    CallerAnswer answer = beginStream();
    written();
    answer.abort();
    answer.write(bytes("id: 2\n\n"));
    answer.finish();
    answer.refuse(Refusal.TIMED_OUT, 0);

    assertEquals("", written());
    assertFalse(channel.isOpen());
  }

  @Test
  void breaksOffInPlaceOfARefusalAfterAHead() {
    CallerAnswer answer = beginStream();
    written();
    answer.refuse(Refusal.TIMED_OUT, 0);

    assertEquals("", written());
    assertFalse(channel.isOpen());
  }

  @Test
  void refusesInPlaceOfAnAnswerThatIsHeld() {
    CallerAnswer answer = answerTo(HttpMethod.GET, HttpVersion.HTTP_1_1);
    answer.begin(head(HttpResponseStatus.OK, false));
    answer.write(bytes("half"));
    answer.refuse(Refusal.TARGET_FAILED, 0);
    answer.finish();
    String text = written();

    assertTrue(text.startsWith("HTTP/1.1 502 "), text);
    assertFalse(text.contains("half"), text);
    assertFalse(text.contains("200"), text);
  }

  @Test
  void writesNothingAfterTheEnd() {
    CallerAnswer answer = beginStream();
    answer.finish();
    written();
    answer.write(bytes("id: 2\n\n"));
    answer.finish();
    answer.refuse(Refusal.TIMED_OUT, 0);

    assertEquals("", written());
  }

  /** The next answer would be read as part of one whose end was not written. */
  @Test
  void closesAConnectionOnWhichAnEndCannotBeWritten() {
    CallerAnswer answer = beginStream();
    failWrite(1);
    answer.finish();

    assertFalse(channel.isOpen());
    assertFalse(written().contains(LAST_CHUNK));
  }

  /**
   * Where there is no memory to encode an event, its write fails by itself and the connection
   * stays. The events after it and the end went out, so that a stream with a hole ended as
   * complete.
   */
  @Test
  void breaksOffAStreamWhoseEventCannotBeWritten() {
    CallerAnswer answer = beginStream();
    written();
    failWrite(1);
    answer.write(bytes("id: 2\n\n"));
    answer.write(bytes("id: 3\n\n"));
    answer.finish();

    assertEquals("", written());
    assertFalse(channel.isOpen());
  }

  @Test
  void breaksOffAnAnswerWhoseHeadCannotBeWritten() {
    CallerAnswer answer = answerTo(HttpMethod.POST, HttpVersion.HTTP_1_1);
    failWrite(1);
    answer.begin(head(HttpResponseStatus.OK, true));
    answer.write(bytes("id: 1\n\n"));
    answer.finish();

    assertEquals("", written());
    assertFalse(channel.isOpen());
  }

  @Test
  void breaksOffALongAnswerWhoseBeginningCannotBeWritten() {
    CallerAnswer answer = answerTo(HttpMethod.GET, HttpVersion.HTTP_1_1);
    answer.begin(head(HttpResponseStatus.OK, false));
    answer.write(bytes("one"));
    failWrite(2);
    answer.write(bytes("two"));
    answer.finish();

    assertFalse(written().contains(LAST_CHUNK));
    assertFalse(channel.isOpen());
  }

  /** Has one of the next writes fail, the others pass. */
  private void failWrite(int number) {
    channel
        .pipeline()
        .addLast(
            new ChannelOutboundHandlerAdapter() {
              private int writes;

              @Override
              public void write(
                  ChannelHandlerContext context, Object message, ChannelPromise promise)
                  throws Exception {
                if (++writes == number) {
                  ReferenceCountUtil.release(message);
                  promise.setFailure(new IOException("no memory"));
                } else {
                  super.write(context, message, promise);
                }
              }
            });
  }

  @Test
  void sendsNoChunksToVersionsBeforeThem() {
    for (String version : new String[] {"HTTP/1.0", "HTTP/0.9"}) {
      channel = new EmbeddedChannel(new HttpServerCodec());
      CallerAnswer answer = answerTo(HttpMethod.POST, HttpVersion.valueOf(version));
      answer.begin(head(HttpResponseStatus.OK, true));
      answer.write(bytes("id: 1\n\n"));
      answer.finish();
      String text = written();

      assertTrue(text.contains("connection: close\r\n"), text);
      assertTrue(text.endsWith("\r\n\r\nid: 1\n\n"), text);
      assertFalse(channel.isOpen());
    }
  }

  @Test
  void dropsABodyThatMustNotBe() {
    CallerAnswer answer = answerTo(HttpMethod.HEAD, HttpVersion.HTTP_1_1);
    answer.begin(head(HttpResponseStatus.OK, true, "12"));
    answer.write(bytes("id: 1\n\n"));
    answer.finish();

    assertEquals("HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n", written());
    assertTrue(channel.isOpen());
  }
}
