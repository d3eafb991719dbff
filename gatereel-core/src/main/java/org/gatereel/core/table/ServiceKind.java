package org.gatereel.core.table;

/** What callers ask of a service. */
public enum ServiceKind {
  /** Streams from model engines. */
  GENERATION,
  /** Calls to plain services. */
  CALL
}
