package org.gatereel.core.forward;

import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.statement.Announcements;

/** The way to targets. */
public interface TargetPort {
  /** Opens a connection and sends a request; the listener is called later, never from within. */
  Call send(Dispatch dispatch, Listener listener);

  /** Asks a target, by its name, whether it works at all; the answer is given exactly once. */
  void probe(TargetDescription target, long timeoutMillis, ProbeListener listener);

  /**
   * Asks an engine which parts of prompts it keeps; the answer is given exactly once, and is empty
   * if none came in time.
   *
   * @param heard is told before the answer what its head says of the target, if one came
   */
  void listPrompts(
      TargetDescription target,
      long timeoutMillis,
      Consumer<Announcements> heard,
      Consumer<Optional<Set<String>>> answer);

  /** A request that a target has. */
  interface Call {
    /** Closes the connection at once; nothing more is heard of it. */
    void cancel();
  }

  /** Hears how a request fares; after {@code ended} or {@code failed} nothing more comes. */
  interface Listener {
    /**
     * Returns whether the request is still to be sent; asked just before its first byte goes out.
     */
    boolean mayBeSent();

    /** The connection stands and the request is on its way: from now on it may run. */
    void sent();

    /** The head of the answer is here. */
    void answered(AnswerHead head);

    /** Bytes of the answer's body are here. */
    void received(byte[] bytes);

    /** The answer is at its end; {@code end} tells how the transport knew. */
    void ended(AnswerEnd end);

    /** There will be no whole answer. */
    void failed(TargetFailure failure);
  }

  /** Hears what came of a probe. */
  interface ProbeListener {
    /** The answer says something of the target; told before the result or after it, or never. */
    default void heard(Announcements said) {}

    void probed(ProbeResult result);
  }
}
