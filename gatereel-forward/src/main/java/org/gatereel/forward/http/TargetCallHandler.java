package org.gatereel.forward.http;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.Function;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.forward.ResponseEnd;
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
    return listener.maySend();
  }

  @Override
  void onConnected() {
    listener.onSent();
  }

  @Override
  void onHead(HttpResponse head) {
    listener.onHead(headReader.apply(head));
  }

  @Override
  void onBody(byte[] bytes) {
    listener.onBody(bytes);
  }

  @Override
  void onEnd(ResponseEnd end) {
    listener.onEnd(end);
  }

  @Override
  void onFailure(TargetFailure failure) {
    listener.onFailure(failure);
  }
}
