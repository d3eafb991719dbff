package org.gatereel.forward;

import java.util.Optional;
import java.util.Set;

/** How targets are spoken to beyond the requests that are forwarded. */
public interface TargetDialect {
  /** Returns the names of the headers. */
  HeaderNames headers();

  /** Returns where an engine tells its state without taking part in its queue. */
  String probePath();

  /** Reads what a target tells at {@link #probePath}. */
  TargetReport readReport(byte[] answer);

  /** Returns where an engine tells which parts of prompts it keeps. */
  String promptsPath();

  /** Reads the names of the parts from that answer; empty if it is none. */
  Optional<Set<String>> readPrompts(byte[] answer);
}
