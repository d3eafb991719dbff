package org.gatereel.forward.http;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.forward.AnswerEnd;
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

  ProbeHandler(ControlThread control, TargetPort.ProbeListener listener) {
    super(control, HttpMethod.GET);
    this.listener = listener;
  }

  @Override
  void onConnected() {}

  @Override
  void onHead(HttpResponse head) {
    forget();
    listener.probed(!head.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST));
  }

  @Override
  void onBody(byte[] bytes) {}

  @Override
  void onEnd(AnswerEnd end) {}

  @Override
  void onFailure(TargetFailure failure) {
    listener.probed(false);
  }
}
