package org.gatereel.forward.http;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.forward.AnswerEnd;
import org.gatereel.forward.ControlThread;

/** Writes down what is reported of a target's answer. */
final class ResponseRecorder extends TargetResponseHandler {
  private final List<String> heard = new ArrayList<>();
  private final StringBuilder body = new StringBuilder();

  ResponseRecorder(ControlThread control, HttpMethod asked) {
    super(control, asked);
  }

  /** Returns how the answer ended, or "open". */
  String outcome() {
    return heard.isEmpty() ? "open" : String.join(", ", heard);
  }

  String body() {
    return body.toString();
  }

  @Override
  void onConnected() {}

  @Override
  void onHead(HttpResponse head) {}

  @Override
  void onBody(byte[] bytes) {
    body.append(new String(bytes, StandardCharsets.US_ASCII));
  }

  @Override
  void onEnd(AnswerEnd end) {
    heard.add(end.name());
  }

  @Override
  void onFailure(TargetFailure failure) {
    heard.add(failure.name());
  }
}
