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

/**
 * An open request of a caller and its response.
 *
 * <p>Only the control thread writes to it.
 */
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

  CallerExchange(Context context, int maxBufferedBytes, Runnable onDisconnect) {
    this.context = context;
    this.maxBufferedBytes = maxBufferedBytes;
    this.onDisconnect = onDisconnect;
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

  /** Ends the exchange with a problem, as an event if the stream is open, else as the response. */
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
   * Ends the exchange before its response is complete; the caller may reconnect.
   *
   * <p>An open stream gets the reason as an event, since its framing alone would mark it as
   * complete.
   */
  void disconnect(ProblemType reason) {
    // Without an open stream, only the core knows whether the request was executed.
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
    String idLine = id == null ? "" : "id: " + id + "\n";
    String body = new String(ProblemDocument.json(data), StandardCharsets.UTF_8);
    String event = idLine + "event: " + type + "\ndata: " + body + "\n\n";
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
