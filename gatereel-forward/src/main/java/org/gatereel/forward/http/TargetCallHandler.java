package org.gatereel.forward.http;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.util.function.Function;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.forward.ResponseEnd;
import org.gatereel.core.forward.TargetPort;
import org.gatereel.forward.ControlThread;

/** Tells the core how a forwarded request fares. */
final class TargetCallHandler extends TargetHandler {
  private final TargetPort.Listener listener;
  private final Function<HttpResponse, TargetHead> reader;

  TargetCallHandler(
      ControlThread control,
      HttpMethod asked,
      TargetPort.Listener listener,
      Function<HttpResponse, TargetHead> reader) {
    super(control, asked);
    this.listener = listener;
    this.reader = reader;
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
    listener.onHead(reader.apply(head));
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
