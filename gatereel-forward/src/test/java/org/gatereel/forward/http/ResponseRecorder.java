package org.gatereel.forward.http;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.forward.ResponseEnd;
import org.gatereel.forward.ControlThread;

/** Records what is reported of a target's response. */
final class ResponseRecorder extends TargetResponseHandler {
  private final List<String> outcomes = new ArrayList<>();
  private final StringBuilder body = new StringBuilder();
  private Runnable beforeHead = () -> {};
  private Runnable beforeEnd = () -> {};

  ResponseRecorder(ControlThread control, HttpMethod requestMethod) {
    super(control, requestMethod);
  }

  void setBeforeHead(Runnable step) {
    beforeHead = step;
  }

  void setBeforeEnd(Runnable step) {
    beforeEnd = step;
  }

  /** Returns how the response ended, or "open". */
  String outcome() {
    return outcomes.isEmpty() ? "open" : String.join(", ", outcomes);
  }

  String body() {
    return body.toString();
  }

  @Override
  void onConnected() {}

  @Override
  void onHead(HttpResponse head) {
    beforeHead.run();
  }

  @Override
  void onBody(byte[] bytes) {
    body.append(new String(bytes, StandardCharsets.US_ASCII));
  }

  @Override
  void onEnd(ResponseEnd end) {
    beforeEnd.run();
    outcomes.add(end.name());
  }

  @Override
  void onFailure(TargetFailure failure) {
    outcomes.add(failure.name());
  }
}
