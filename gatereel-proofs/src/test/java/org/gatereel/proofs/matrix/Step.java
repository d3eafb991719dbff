package org.gatereel.proofs.matrix;

import org.gatereel.core.action.Action;
import org.gatereel.proofs.world.FakeHost;

/** A moment in the life of a request or an edit, told by an action that was just carried out. */
interface Step<S extends Scene> {
  String name();

  boolean isReached(S scene, FakeHost host, Action action);
}
