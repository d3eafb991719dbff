package org.gatereel.forward.http;

/** What a caller's connection tells its earlier handlers. */
enum CallerEvent {
  /** All answers that were owed are given. */
  ALL_ANSWERED
}
