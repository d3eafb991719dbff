package org.gatereel.proofs.replay;

import java.util.ArrayList;
import java.util.List;

/** A request under which each engine ends that begins to run it, and what engines have seen. */
final class FatalContent {
  /** How long an engine lives on once it has begun to run the request, in microseconds. */
  static final long LIVES_ON_MICROS = 80_000;

  /** Within which hosts know that a request is to be held back, after the third end. */
  private static final long KNOWN_MILLIS = 3_000;

  private static final int ENDS_THAT_CONVICT = 3;

  private final String name;
  private final boolean headIsSent;
  private final List<Long> ends = new ArrayList<>();
  private final List<Long> arrivals = new ArrayList<>();

  /**
   * Makes a content.
   *
   * @param headIsSent whether engines send their answer's head before they end
   */
  FatalContent(String name, boolean headIsSent) {
    this.name = name;
    this.headIsSent = headIsSent;
  }

  String name() {
    return name;
  }

  boolean headIsSent() {
    return headIsSent;
  }

  void arrived(long millis) {
    arrivals.add(millis);
  }

  void ended(long millis) {
    ends.add(millis);
  }

  int ends() {
    return ends.size();
  }

  /** Returns how often engines got it when all hosts had to know of the third end. */
  long arrivalsTooLate() {
    if (ends.size() < ENDS_THAT_CONVICT) {
      return 0;
    }
    long known = ends.get(ENDS_THAT_CONVICT - 1) + KNOWN_MILLIS;
    return arrivals.stream().filter(at -> at > known).count();
  }
}
