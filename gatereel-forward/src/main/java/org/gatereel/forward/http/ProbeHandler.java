package org.gatereel.forward.http;

import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.ConnectException;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.forward.AnswerEnd;
import org.gatereel.core.forward.ProbeResult;
import org.gatereel.core.forward.TargetPort;
import org.gatereel.forward.ControlThread;

/**
 * Tells the core whether a target answers at all.
 *
 * <p>Any head counts but that the target is not the one that was meant: a process that has taken an
 * address over proves nothing about the one before.
 */
final class ProbeHandler extends TargetHandler {
  private final TargetPort.ProbeListener listener;
  private boolean refused;

  ProbeHandler(ControlThread control, TargetPort.ProbeListener listener) {
    super(control, HttpMethod.GET);
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
    forget();
    boolean another = head.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
    listener.probed(another ? ProbeResult.GONE : ProbeResult.ALIVE);
  }

  @Override
  void onBody(byte[] bytes) {}

  @Override
  void onEnd(AnswerEnd end) {}

  @Override
  void onFailure(TargetFailure failure) {
    listener.probed(refused ? ProbeResult.GONE : ProbeResult.UNKNOWN);
  }
}
