package org.gatereel.forward;

import java.util.Optional;
import java.util.Set;

/** The headers, paths and documents by which hosts communicate with targets. */
public interface TargetDialect {
  HeaderNames headers();

  /** Returns the path of an engine's state report, which bypasses its request queue. */
  String probePath();

  /** Reads the response of {@link #probePath}; {@link TargetReport#NONE} if it is malformed. */
  TargetReport readReport(byte[] body);

  /** Returns the path of the list of prompt parts that an engine caches. */
  String promptsPath();

  /** Reads the response of {@link #promptsPath}; empty if it is malformed. */
  Optional<Set<String>> readPrompts(byte[] body);
}
