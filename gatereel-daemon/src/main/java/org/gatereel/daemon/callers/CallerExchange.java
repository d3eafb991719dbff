package org.gatereel.daemon.callers;

import io.jooby.Context;
import io.jooby.MediaType;
import io.jooby.Sender;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import org.gatereel.core.generation.EventId;
import org.gatereel.core.model.Outcome;
import org.gatereel.core.model.Problem;
import org.gatereel.core.model.ProblemType;

/** One open request of a caller; written to by the control thread only. */
final class CallerExchange {
  private static final MediaType EVENT_STREAM = MediaType.valueOf("text/event-stream");
  private static final int OK = 200;

  private final Context context;
  private final int maxBufferedBytes;
  private final Runnable onDisconnect;
  private final AtomicLong bufferedBytes = new AtomicLong();
  private Sender sender;
  private boolean ended;

  private record Opened(String request) {}

  private record Text(String text) {}

  private record Length(int tokens) {}

  CallerExchange(Context context, int mostWaitingBytes, Runnable gone) {
    this.context = context;
    this.maxBufferedBytes = mostWaitingBytes;
    this.onDisconnect = gone;
  }

  void openStream(EventId id) {
    if (ended) {
      return;
    }
    context.setResponseCode(OK);
    context.setResponseType(EVENT_STREAM);
    context.setResponseHeader("Cache-Control", "no-store");
    sender = context.responseSender();
    write("open", id, new Opened(id.request().value()));
  }

  void sendToken(EventId id, String token) {
    write("token", id, new Text(token));
    if (bufferedBytes.get() > maxBufferedBytes && !ended) {
      String detail = bufferedBytes.get() + " bytes are waiting";
      endWithProblem(new Problem(ProblemType.SLOW_READER, Outcome.RAN, detail, 1));
      onDisconnect.run();
    }
  }

  void sendEnd(EventId id) {
    write("end", id, new Length(id.offset()));
    close();
  }

  /** Tells of a problem: in the stream if it is open, as the answer otherwise. */
  void sendProblem(Problem problem) {
    if (ended) {
      return;
    }
    if (sender != null) {
      endWithProblem(problem);
    } else {
      ended = true;
      ProblemDocument.send(context, problem);
    }
  }

  private void endWithProblem(Problem problem) {
    write("problem", null, ProblemDocument.of(problem));
    close();
  }

  void respond(int status, MediaType type, byte[] body) {
    if (!ended) {
      ended = true;
      context.setResponseCode(status);
      context.setResponseType(type);
      context.send(body);
    }
  }

  /**
   * Ends the exchange before its answer is whole; the caller connects again.
   *
   * <p>The reason goes into an open stream too: by its last chunk alone it would look whole.
   */
  void disconnect(ProblemType reason) {
    // What a request that has no answer yet has come to is known to the core only, which was not
    // asked.
    Outcome outcome = sender == null ? Outcome.UNKNOWN : Outcome.RAN;
    sendProblem(new Problem(reason, outcome, "connect again", 1));
  }

  private void close() {
    if (!ended) {
      ended = true;
      sender.close();
    }
  }

  private void write(String type, EventId id, Object data) {
    if (ended) {
      return;
    }
    String head = id == null ? "" : "id: " + id + "\n";
    String body = new String(ProblemDocument.json(data), StandardCharsets.UTF_8);
    String event = head + "event: " + type + "\ndata: " + body + "\n\n";
    byte[] bytes = event.getBytes(StandardCharsets.UTF_8);
    bufferedBytes.addAndGet(bytes.length);
    sender.write(bytes, (done, failure) -> onWritten(bytes.length, failure));
  }

  private void onWritten(int length, Throwable failure) {
    bufferedBytes.addAndGet(-length);
    if (failure != null) {
      onDisconnect.run();
    }
  }
}
