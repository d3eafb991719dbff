package org.gatereel.adapters.targets;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.model.RequestId;

/** Keeps what targets were heard to say, each as one line. */
final class HeardTargets implements TargetListener {
  private static final long PATIENCE_SECONDS = 30;

  private final BlockingQueue<String> heard = new LinkedBlockingQueue<>();

  @Override
  public void token(RequestId request, int attempt, int offset, String token, int load) {
    heard.add("token " + offset);
  }

  @Override
  public void finished(RequestId request, int attempt, int length) {
    heard.add("finished " + length);
  }

  @Override
  public void failed(RequestId request, int attempt, TargetFailure failure) {
    heard.add("failed " + failure);
  }

  @Override
  public void answered(long ticket, int status, String body, int load) {
    heard.add("answered " + status + " " + body);
  }

  @Override
  public void callFailed(long ticket, TargetFailure failure) {
    heard.add("failed " + failure);
  }

  /** Returns the next line, as soon as there is one. */
  String next() throws InterruptedException {
    String line = heard.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
    assertNotNull(line, "nothing was heard");
    return line;
  }

  /** Returns the first line that is not about a token. */
  String ending() throws InterruptedException {
    String line = next();
    while (line.startsWith("token")) {
      line = next();
    }
    return line;
  }
}
