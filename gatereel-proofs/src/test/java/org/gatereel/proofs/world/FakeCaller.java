package org.gatereel.proofs.world;

import org.gatereel.core.action.Action;

/** Somebody outside with one exchange at a time. */
public interface FakeCaller {
  /** Takes in what a host says in an exchange; one that was left is passed over. */
  void told(long exchange, Action action);

  /** The connection to the host broke. */
  void connectionBroke();

  /** Returns whether nothing more will come of this caller. */
  boolean isDone();
}
