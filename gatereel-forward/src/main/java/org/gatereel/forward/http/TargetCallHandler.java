package org.gatereel.forward.http;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.Function;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.forward.AnswerEnd;
import org.gatereel.core.forward.TargetPort;
import org.gatereel.forward.ControlThread;

/** Reports the progress and the outcome of a forwarded request to its listener in the core. */
final class TargetCallHandler extends TargetResponseHandler {
  private final TargetPort.Listener listener;
  private final Function<HttpResponse, TargetResponseHead> headReader;

  TargetCallHandler(
      ControlThread control,
      HttpMethod requestMethod,
      TargetPort.Listener listener,
      Function<HttpResponse, TargetResponseHead> headReader) {
    super(control, requestMethod);
    this.listener = listener;
    this.headReader = headReader;
  }

  @Override
  boolean mayBeSent() {
    return listener.mayBeSent();
  }

  @Override
  void onConnected() {
    listener.sent();
  }

  @Override
  void onHead(HttpResponse head) {
    listener.answered(headReader.apply(head));
  }

  @Override
  void onBody(byte[] bytes) {
    listener.received(bytes);
  }

  @Override
  void onEnd(AnswerEnd end) {
    listener.ended(end);
  }

  @Override
  void onFailure(TargetFailure failure) {
    listener.failed(failure);
  }
}
