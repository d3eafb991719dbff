package org.gatereel.core.load;

/** Whose requests a report counts, and so who may be sent it. */
public enum LoadScope {
  /** The sender's own, told to the host that gathers for its data centre. */
  HOST,
  /** Those of all hosts of the sender's data centre, told to those that gather for others. */
  DATA_CENTRE,
  /**
   * Those of all hosts but the receiver's own, told by a gatherer to a host of its data centre. It
   * is never passed on, so that no load can come back to where it was counted first.
   */
  EVERYONE_ELSE
}
