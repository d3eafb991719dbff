package org.gatereel.core.peer;

/** Why a host does not hand over a generation. */
public enum TakeoverRefusal {
  /** The host has no copy of it. */
  MISSING,
  /** The generation belongs to another client account. */
  WRONG_ACCOUNT,
  /** The host's tokens are not a continuation of what the caller has. */
  OTHER_PREFIX
}
