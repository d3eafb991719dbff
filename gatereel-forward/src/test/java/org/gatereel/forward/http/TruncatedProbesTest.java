package org.gatereel.forward.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import org.gatereel.core.forward.ProbeResult;
import org.gatereel.core.forward.TargetPort;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.statement.Announcements;
import org.gatereel.forward.ControlThread;
import org.gatereel.forward.HeaderNames;
import org.gatereel.forward.TargetDialect;
import org.gatereel.forward.TargetReport;
import org.gatereel.forward.log.ForwardLog;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against concluding from a truncated response to a probe that a target is alive or gone, or
 * what it announces.
 */
class TruncatedProbesTest {
  private static final ForwardLog LOG = new ForwardLog("test");
  private static final long START = 7;
  private static final HeaderNames NAMES =
      new HeaderNames(
          "Id",
          "Left",
          "Key",
          "Account",
          "Expected",
          "Signed",
          "Not-Run",
          "Takes",
          "Leaves",
          "Counts",
          "Estimate",
          "Parts",
          "Copy-To",
          "Copy-From",
          "Urgency",
          Set.of(),
          Set.of());

  /** Reads a report that is the start of the target. */
  private record Dialect(HeaderNames headers) implements TargetDialect {
    @Override
    public TargetReport readReport(byte[] body) {
      String text = new String(body, StandardCharsets.US_ASCII);
      return text.matches("born=[0-9]+;")
          ? new TargetReport(
              OptionalLong.of(Long.parseLong(text.substring(5, text.length() - 1))),
              false,
              Set.of())
          : TargetReport.NONE;
    }

    @Override
    public String probePath() {
      return "/report";
    }

    @Override
    public String promptsPath() {
      return "/prompts";
    }

    @Override
    public Optional<Set<String>> readPrompts(byte[] body) {
      return Optional.empty();
    }
  }

  private static final class RecordingListener implements TargetPort.ProbeListener {
    private final List<ProbeResult> results = new ArrayList<>();
    private int announcements;

    @Override
    public void onAnnouncements(Announcements received) {
      announcements++;
    }

    @Override
    public void onResult(ProbeResult result) {
      results.add(result);
    }
  }

  @AfterAll
  static void closeLog() {
    LOG.close();
  }

  /** Probes a target that sends these bytes and then closes or resets. */
  private static RecordingListener probe(TargetId target, String bytes, boolean isReset) {
    EmbeddedChannel channel = new EmbeddedChannel();
    CoreContext context =
        new CoreContext(new HostId("test"), new DataCentre("north"), new SplittableRandom(1));
    RecordingListener listener = new RecordingListener();
    ProbeHandler handler =
        new ProbeHandler(
            new ControlThread(channel.eventLoop(), context, LOG),
            target,
            new Dialect(NAMES),
            listener);
    channel.pipeline().addLast(ResponseFraming.codec(HttpMethod.GET)).addLast(handler);
    channel.writeOutbound(
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/report"));
    channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII));
    if (isReset) {
      channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
    } else {
      channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
    }
    channel.runPendingTasks();
    channel.finishAndReleaseAll();
    return listener;
  }

  private static void assertProves(
      List<ProbeResult> expected, TargetId target, String bytes, boolean isReset) {
    RecordingListener listener = probe(target, bytes, isReset);

    assertEquals(expected, listener.results, bytes);
    assertEquals(0, listener.announcements, bytes);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK|Takes: 5|Content-Length: 7||",
        "HTTP/1.1 200 OK|Leaves: true|Transfer-Encoding: chunked||",
        "HTTP/1.1 200 OK|Takes: 5||",
        "HTTP/1.0 200 OK|X-A: b| c||",
        "HTTP/1.1 103 Early Hints|Link: x||HTTP/1.1 200 OK|Takes: 5||",
        "HTTP/1.1 204 No Content|Takes: 5||",
        "HTTP/1.1 421 Misdirected Request|Content-Length: 0||",
        "HTTP/1.1 503 Full|Retry-After: 3|Content-Length: 0||",
      })
  void aTruncatedHeadProvesNothing(String lines) {
    String head = lines.replace("|", "\r\n");
    for (int length = 0; length < head.length(); length++) {
      String cut = head.substring(0, length);
      for (TargetId target : List.of(new TargetId("i-1"), new TargetId("i-1", START))) {
        assertProves(List.of(ProbeResult.UNKNOWN), target, cut, false);
        assertProves(List.of(ProbeResult.UNKNOWN), target, cut, true);
      }
    }
  }

  @ParameterizedTest
  @CsvSource({
    "HTTP/1.1 200 OK|Takes: 5|Content-Length: 7||, born=7;",
    "HTTP/1.1 200 OK|Takes: 5|Content-Length: 7||, born=8;",
    "HTTP/1.1 200 OK|Leaves: true|Transfer-Encoding: chunked||, 7|born=7;|0||",
    "HTTP/1.1 200 OK|Takes: 5||, born=7;",
  })
  void aTruncatedReportNamesNoIncarnation(String headLines, String bodyLines) {
    String head = headLines.replace("|", "\r\n");
    String body = bodyLines.replace("|", "\r\n");
    TargetId target = new TargetId("i-1", START);
    for (int length = 0; length < body.length(); length++) {
      String cut = head + body.substring(0, length);

      assertProves(List.of(ProbeResult.ANSWERED), target, cut, false);
      assertProves(List.of(ProbeResult.ANSWERED), target, cut, true);
    }
    ProbeResult whole = body.contains("7;") ? ProbeResult.ALIVE : ProbeResult.GONE;
    assertEquals(List.of(whole), probe(target, head + body, false).results);
  }
}
