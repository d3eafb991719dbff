package org.gatereel.forward.http;

import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.ByteArrayOutputStream;
import java.net.ConnectException;
import java.util.OptionalLong;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.forward.AnswerEnd;
import org.gatereel.core.forward.ProbeResult;
import org.gatereel.core.forward.TargetPort;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.statement.Statement;
import org.gatereel.core.statement.Statements;
import org.gatereel.forward.ControlThread;
import org.gatereel.forward.TargetDialect;
import org.gatereel.forward.TargetReport;

/**
 * Tells the core whether one run of a target answers.
 *
 * <p>Any head counts but that the target is not the one that was meant: a process that has taken an
 * address over proves nothing about the one before. Where targets tell when they began, a later run
 * under the same name is another one too, and only a report that names the run proves that it
 * lives.
 */
final class ProbeHandler extends TargetHandler {
  /** Reports have some hundred bytes; of a longer answer nothing is read. */
  private static final int MOST_BYTES = 64 << 10;

  private final TargetId probed;
  private final TargetDialect dialect;
  private final TargetPort.ProbeListener listener;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private Statements said = Statements.NONE;
  private boolean refused;
  private boolean answered;

  /**
   * Makes a handler for the answer to one probe.
   *
   * @param dialect reads what targets say
   */
  ProbeHandler(
      ControlThread control,
      TargetId probed,
      TargetDialect dialect,
      TargetPort.ProbeListener listener) {
    super(control, HttpMethod.GET);
    this.probed = probed;
    this.dialect = dialect;
    this.listener = listener;
  }

  /** A connection that does not come about in time says less: a full queue drops its opening. */
  @Override
  void connectFailed(Throwable cause) {
    refused = cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    super.connectFailed(cause);
  }

  @Override
  void onConnected() {}

  @Override
  void onHead(HttpResponse head) {
    if (head.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST)) {
      conclude(ProbeResult.GONE);
      return;
    }
    answered = true;
    said = StatementHeaders.read(head, dialect.headers());
    if (isKnownByName()) {
      listener.heard(said);
      conclude(ProbeResult.ALIVE);
    }
  }

  @Override
  void onBody(byte[] bytes) {
    if (body.size() + bytes.length > MOST_BYTES) {
      conclude(ProbeResult.ANSWERED);
      return;
    }
    body.writeBytes(bytes);
  }

  /** Another run's answer says nothing of the one that was probed. */
  @Override
  void onEnd(AnswerEnd end) {
    TargetReport report = dialect.readReport(body.toByteArray());
    boolean same = report.born().equals(OptionalLong.of(probed.born()));
    if (same) {
      Statements all = said.withUnknownFields(report.unknown());
      listener.heard(report.leaving() ? all.withLeaving(new Statement.Said<>(true)) : all);
    }
    if (report.born().isEmpty()) {
      listener.probed(ProbeResult.ANSWERED);
    } else {
      listener.probed(same ? ProbeResult.ALIVE : ProbeResult.GONE);
    }
  }

  @Override
  void onFailure(TargetFailure failure) {
    if (answered) {
      listener.probed(ProbeResult.ANSWERED);
    } else {
      listener.probed(refused ? ProbeResult.GONE : ProbeResult.UNKNOWN);
    }
  }

  private boolean isKnownByName() {
    return probed.born() == TargetId.UNKNOWN_START;
  }

  private void conclude(ProbeResult result) {
    forget();
    listener.probed(result);
  }
}
