package org.gatereel.adapters.targets;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.model.RequestId;

/** Records each callback as one line. */
final class RecordingTargetListener implements TargetListener {
  private static final long TIMEOUT_SECONDS = 30;

  private final BlockingQueue<String> callbacks = new LinkedBlockingQueue<>();

  @Override
  public void onToken(RequestId request, int attempt, int offset, String token, int load) {
    callbacks.add("token " + offset);
  }

  @Override
  public void onFinished(RequestId request, int attempt, int length) {
    callbacks.add("finished " + length);
  }

  @Override
  public void onFailed(RequestId request, int attempt, TargetFailure failure) {
    callbacks.add("failed " + failure);
  }

  @Override
  public void onCallResponse(long ticket, int status, String body, int load) {
    callbacks.add("answered " + status + " " + body);
  }

  @Override
  public void onCallFailed(long ticket, TargetFailure failure) {
    callbacks.add("failed " + failure);
  }

  /** Waits for the next line and returns it. */
  String next() throws InterruptedException {
    String line = callbacks.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertNotNull(line, "no callback was received");
    return line;
  }

  /** Waits for the first line that is not about a token and returns it. */
  String firstNonToken() throws InterruptedException {
    String line = next();
    while (line.startsWith("token")) {
      line = next();
    }
    return line;
  }
}
