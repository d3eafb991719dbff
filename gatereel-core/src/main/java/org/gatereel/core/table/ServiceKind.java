package org.gatereel.core.table;

/** The kinds of service. */
public enum ServiceKind {
  /** Generations streamed from model engines. */
  GENERATION,
  /** Calls of plain services. */
  CALL
}
