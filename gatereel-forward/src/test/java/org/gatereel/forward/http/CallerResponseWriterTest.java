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
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;
import org.gatereel.core.forward.ConfigurationHolder;
import org.gatereel.core.forward.Rejection;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.statement.Announcements;
import org.junit.jupiter.api.Test;

class CallerResponseWriterTest {
  private static final String LAST_CHUNK = "0\r\n\r\n";

  private EmbeddedChannel channel = new EmbeddedChannel(new HttpServerCodec());

  private CallerResponseWriter responseTo(HttpMethod method, HttpVersion version) {
    channel.writeInbound(
        Unpooled.copiedBuffer(method + " / " + version + "\r\n\r\n", StandardCharsets.US_ASCII));
    CoreContext context =
        new CoreContext(new HostId("test"), new DataCentre("north"), new SplittableRandom(1));
    ConfigurationHolder configuration =
        new ConfigurationHolder(context, new ConfigurationHolder.Bounds(true, 5_000, 2_000));
    CallerServer server =
        new CallerServer(null, configuration, null, null, (reason, state, detail) -> {});
    CallerConnection connection =
        new CallerConnection(server, channel, new RequestHeadTimeoutHandler(400));
    return new CallerResponseWriter(
        connection, channel, version, method, version.isKeepAliveDefault());
  }

  private CallerResponseWriter startStream() {
    CallerResponseWriter response = responseTo(HttpMethod.POST, HttpVersion.HTTP_1_1);
    response.begin(head(HttpResponseStatus.OK, true));
    response.write(bytes("id: 1\n\n"));
    response.flush();
    return response;
  }

  private static TargetResponseHead head(
      HttpResponseStatus status, boolean stream, String... lengths) {
    HttpHeaders headers = new DefaultHttpHeaders();
    for (String length : lengths) {
      headers.set("content-length", length);
    }
    return new TargetResponseHead(status, headers, false, true, stream, Announcements.NONE);
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
  void writesTheLastChunkOnlyAtTheEndOfAStream() {
    CallerResponseWriter response = startStream();
    response.write(new byte[0]);

    assertFalse(written().contains(LAST_CHUNK));

    response.finish();

    assertEquals(LAST_CHUNK, written());
    assertTrue(channel.isOpen());
  }

  @Test
  void writesNothingAfterAbort() {
    CallerResponseWriter response = startStream();
    written();
    response.abort();
    response.write(bytes("id: 2\n\n"));
    response.finish();
    response.reject(Rejection.TIMED_OUT, 0);

    assertEquals("", written());
    assertFalse(channel.isOpen());
  }

  @Test
  void closesWithoutAResponseWhenNoByteOfItWasSent() {
    CallerResponseWriter response = responseTo(HttpMethod.GET, HttpVersion.HTTP_1_1);
    response.begin(head(HttpResponseStatus.OK, false));
    response.write(bytes("half"));
    response.abort();

    assertTrue(written().startsWith("HTTP/1.1 502 "));
  }

  @Test
  void abortsInsteadOfRejectingAfterTheHead() {
    CallerResponseWriter response = startStream();
    written();
    response.reject(Rejection.TIMED_OUT, 0);

    assertEquals("", written());
    assertFalse(channel.isOpen());
  }

  @Test
  void rejectsInsteadOfABufferedResponse() {
    CallerResponseWriter response = responseTo(HttpMethod.GET, HttpVersion.HTTP_1_1);
    response.begin(head(HttpResponseStatus.OK, false));
    response.write(bytes("half"));
    response.reject(Rejection.TARGET_FAILED, 0);
    response.finish();
    String text = written();

    assertTrue(text.startsWith("HTTP/1.1 502 "), text);
    assertFalse(text.contains("half"), text);
    assertFalse(text.contains("200"), text);
  }

  @Test
  void writesNothingAfterFinish() {
    CallerResponseWriter response = startStream();
    response.finish();
    written();
    response.write(bytes("id: 2\n\n"));
    response.finish();
    response.reject(Rejection.TIMED_OUT, 0);

    assertEquals("", written());
  }

  /** Guards against a caller reading the next response as part of one without a written end. */
  @Test
  void closesTheConnectionIfTheEndCannotBeWritten() {
    CallerResponseWriter response = startStream();
    failWrite(1);
    response.finish();

    assertFalse(channel.isOpen());
    assertFalse(written().contains(LAST_CHUNK));
  }

  /**
   * Guards against completing a stream in which an event is missing because its write failed on an
   * open connection.
   */
  @Test
  void abortsAStreamIfAnEventCannotBeWritten() {
    CallerResponseWriter response = startStream();
    written();
    failWrite(1);
    response.write(bytes("id: 2\n\n"));
    response.write(bytes("id: 3\n\n"));
    response.finish();

    assertEquals("", written());
    assertFalse(channel.isOpen());
  }

  @Test
  void abortsAResponseIfItsHeadCannotBeWritten() {
    CallerResponseWriter response = responseTo(HttpMethod.POST, HttpVersion.HTTP_1_1);
    failWrite(1);
    response.begin(head(HttpResponseStatus.OK, true));
    response.write(bytes("id: 1\n\n"));
    response.finish();

    assertEquals("", written());
    assertFalse(channel.isOpen());
  }

  @Test
  void abortsALongResponseIfItsFirstBytesCannotBeWritten() {
    CallerResponseWriter response = responseTo(HttpMethod.GET, HttpVersion.HTTP_1_1);
    response.begin(head(HttpResponseStatus.OK, false));
    response.write(bytes("one"));
    failWrite(2);
    response.write(bytes("two"));
    response.finish();

    assertFalse(written().contains(LAST_CHUNK));
    assertFalse(channel.isOpen());
  }

  /** Makes the write with the given number fail, counted from 1; other writes succeed. */
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
  void sendsNoChunksToCallersBeforeHttp11() {
    for (String version : new String[] {"HTTP/1.0", "HTTP/0.9"}) {
      channel = new EmbeddedChannel(new HttpServerCodec());
      CallerResponseWriter response = responseTo(HttpMethod.POST, HttpVersion.valueOf(version));
      response.begin(head(HttpResponseStatus.OK, true));
      response.write(bytes("id: 1\n\n"));
      response.finish();
      String text = written();

      assertTrue(text.contains("connection: close\r\n"), text);
      assertTrue(text.endsWith("\r\n\r\nid: 1\n\n"), text);
      assertFalse(channel.isOpen());
    }
  }

  @Test
  void dropsTheBodyOfAResponseToHead() {
    CallerResponseWriter response = responseTo(HttpMethod.HEAD, HttpVersion.HTTP_1_1);
    response.begin(head(HttpResponseStatus.OK, true, "12"));
    response.write(bytes("id: 1\n\n"));
    response.finish();

    assertEquals("HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n", written());
    assertTrue(channel.isOpen());
  }
}
