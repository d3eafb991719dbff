package org.gatereel.core.forward;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.statement.Announcements;

/** Sends requests and probes to targets. */
public interface TargetPort {
  /** Opens a connection and sends a request; the listener is never called before this returns. */
  Call send(Dispatch dispatch, Listener listener);

  /** Probes whether a target works; the listener receives exactly one result. */
  void probe(TargetDescription target, long timeoutMillis, ProbeListener listener);

  /**
   * Queries an engine for the prompt parts in its cache; the callback is called exactly once, with
   * an empty result if the engine does not respond in time.
   *
   * @param announcementListener receives the announcements in the response head, before the
   *     callback, if there is a response
   */
  void listPrompts(
      TargetDescription target,
      long timeoutMillis,
      Consumer<Announcements> announcementListener,
      Consumer<Optional<Set<String>>> callback);

  /**
   * Returns when connections to a target began to be relayed by other hosts, in milliseconds; empty
   * if this host connects to it directly. Connections that were open before may have broken
   * silently.
   */
  default OptionalLong pathLostAt(TargetId target) {
    return OptionalLong.empty();
  }

  /** A request in progress at a target. */
  interface Call {
    /** Closes the connection at once; the listener is not called any more. */
    void cancel();
  }

  /** Receives the progress of a request; {@code onEnd} or {@code onFailure} is the last call. */
  interface Listener {
    /** Returns whether the request is still to be sent; called just before its first byte. */
    boolean maySend();

    /** The connection is open and the request is being sent, so the target may execute it. */
    void onSent();

    /** The response head was received. */
    void onHead(ResponseHead head);

    /** Part of the response body was received. */
    void onBody(byte[] bytes);

    /** The response has ended; {@code end} is how the transport detected it. */
    void onEnd(ResponseEnd end);

    /** The attempt failed without a complete response. */
    void onFailure(TargetFailure failure);
  }

  /** Receives the result of a probe. */
  interface ProbeListener {
    /** Receives the target's announcements, before or after the result, if there are any. */
    default void onAnnouncements(Announcements announcements) {}

    void onResult(ProbeResult result);
  }
}
