package org.gatereel.core.peer;

/** The reason why a host does not hand over a generation. */
public enum TakeoverRefusal {
  /** The host has no copy of it. */
  MISSING,
  /** The generation belongs to another client account. */
  WRONG_ACCOUNT,
  /** The host's tokens do not start with the tokens that the caller has received. */
  OTHER_PREFIX
}
