package org.gatereel.proofs;

/** What must always hold, in the words of the brief. */
public enum Promise {
  STREAM_WHOLE("every stream reaches its caller with no token missing and none repeated"),
  NEVER_MIXED("two generations of one request are never mixed into one answer"),
  OWN_ANSWER("each caller gets the whole answer to its own request"),
  NOT_RUN_TRUE("a refusal that says not run is true"),
  AT_MOST_ONCE("a request that may not be repeated runs at most once"),
  LEAVING_GETS_NOTHING("a target that is leaving gets no new work after a few seconds"),
  STOP_CUTS_NOTHING("a planned stop cuts no request"),
  EDITS_HOLD("an accepted edit is in force everywhere within seconds and never reverts");

  private final String sentence;

  Promise(String sentence) {
    this.sentence = sentence;
  }

  public String sentence() {
    return sentence;
  }
}
