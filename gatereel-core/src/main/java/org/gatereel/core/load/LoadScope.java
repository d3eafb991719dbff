package org.gatereel.core.load;

/** Which hosts' requests a report counts. */
public enum LoadScope {
  /** Those of the sender; sent to the gatherer of its data centre. */
  HOST,
  /** Those of all hosts of the sender's data centre; sent to the gatherers of other ones. */
  DATA_CENTRE,
  /**
   * Those of all hosts but the receiver; sent by a gatherer to a host of its data centre. The
   * receiver does not forward them, so that no request is counted twice.
   */
  EVERYONE_ELSE
}
