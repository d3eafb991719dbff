package org.gatereel.forward.http;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.Function;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.forward.AnswerEnd;
import org.gatereel.core.forward.TargetPort;
import org.gatereel.forward.ControlThread;

/** Tells the core how a forwarded request fares. */
final class TargetCallHandler extends TargetResponseHandler {
  private final TargetPort.Listener listener;
  private final Function<HttpResponse, TargetResponseHead> reader;

  TargetCallHandler(
      ControlThread control,
      HttpMethod asked,
      TargetPort.Listener listener,
      Function<HttpResponse, TargetResponseHead> reader) {
    super(control, asked);
    this.listener = listener;
    this.reader = reader;
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
    listener.answered(reader.apply(head));
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
