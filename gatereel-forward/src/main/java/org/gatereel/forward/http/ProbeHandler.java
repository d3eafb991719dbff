package org.gatereel.forward.http;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.ByteArrayOutputStream;
import java.util.OptionalLong;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.forward.ProbeResult;
import org.gatereel.core.forward.ResponseEnd;
import org.gatereel.core.forward.TargetPort;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.statement.Announcement;
import org.gatereel.core.statement.Announcements;
import org.gatereel.forward.ControlThread;
import org.gatereel.forward.TargetDialect;
import org.gatereel.forward.TargetReport;

/**
 * Reports to the core whether one incarnation of a target is alive.
 *
 * <p>If the incarnation is unknown, any response head except 421 (Misdirected Request) proves that
 * the target is alive; 421 means that another process uses the address. If the incarnation is
 * known, only a report with its start time proves that it is alive; a report with another start
 * time proves that it has ended.
 */
final class ProbeHandler extends TargetResponseHandler {
  /** Reports have some hundred bytes; a longer body is not read as a report. */
  private static final int MAX_REPORT_BYTES = 64 << 10;

  private final TargetId target;
  private final TargetDialect dialect;
  private final TargetPort.ProbeListener listener;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private Announcements announcements = Announcements.NONE;
  private boolean connectionRefused;
  private boolean headReceived;

  ProbeHandler(
      ControlThread control,
      TargetId target,
      TargetDialect dialect,
      TargetPort.ProbeListener listener) {
    super(control, HttpMethod.GET);
    this.target = target;
    this.dialect = dialect;
    this.listener = listener;
  }

  /**
   * Distinguishes a refused connection from a timeout: a live target with a full accept queue also
   * causes a timeout.
   */
  @Override
  void connectFailed(boolean targetRefused) {
    connectionRefused = targetRefused;
    super.connectFailed(targetRefused);
  }

  @Override
  void onConnected() {}

  @Override
  void onHead(HttpResponse head) {
    if (head.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
      finish(ProbeResult.GONE);
      return;
    }
    headReceived = true;
    announcements = AnnouncementHeaders.read(head, dialect.headers());
    if (isIncarnationUnknown()) {
      listener.onAnnouncements(announcements);
      finish(ProbeResult.ALIVE);
    }
  }

  @Override
  void onBody(byte[] bytes) {
    if (body.size() + bytes.length > MAX_REPORT_BYTES) {
      finish(ProbeResult.ANSWERED);
      return;
    }
    body.writeBytes(bytes);
  }

  /** Ignores the announcements of another incarnation. */
  @Override
  void onEnd(ResponseEnd end) {
    TargetReport report = dialect.readReport(body.toByteArray());
    boolean isSameIncarnation = report.startedAtMillis().equals(OptionalLong.of(target.born()));
    if (isSameIncarnation) {
      Announcements allAnnouncements = announcements.withUnknownFields(report.unknown());
      listener.onAnnouncements(
          report.leaving()
              ? allAnnouncements.withLeaving(new Announcement.Announced<>(true))
              : allAnnouncements);
    }
    if (report.startedAtMillis().isEmpty()) {
      listener.onResult(ProbeResult.ANSWERED);
    } else {
      listener.onResult(isSameIncarnation ? ProbeResult.ALIVE : ProbeResult.GONE);
    }
  }

  @Override
  void onFailure(TargetFailure failure) {
    if (headReceived) {
      listener.onResult(ProbeResult.ANSWERED);
    } else {
      listener.onResult(connectionRefused ? ProbeResult.GONE : ProbeResult.UNKNOWN);
    }
  }

  private boolean isIncarnationUnknown() {
    return target.born() == TargetId.UNKNOWN_START;
  }

  private void finish(ProbeResult result) {
    stopReporting();
    listener.onResult(result);
  }
}
