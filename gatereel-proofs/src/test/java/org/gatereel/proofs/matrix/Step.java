package org.gatereel.proofs.matrix;

import org.gatereel.core.action.Action;
import org.gatereel.core.event.EventCode;
import org.gatereel.proofs.world.FakeHost;

/** A moment in the life of a request or an edit, told by an action that was just carried out. */
interface Step<S extends Scene> {
  String name();

  boolean isReached(S scene, FakeHost host, Action action);

  /** Returns whether an action is the event with a code. */
  static boolean isNote(Action action, EventCode code) {
    return action instanceof Action.LogEvent note && note.code() == code;
  }
}
