package org.gatereel.core.event;

/** The measured quantities by which policies are compared. */
public enum Measurement {
  FIRST_TOKEN_MILLIS("from the request to its first token at the caller"),
  TOKEN_GAP_MILLIS("between two tokens of one generation as they reach this host"),
  RESUME_MILLIS("from the loss of an engine, or its last token, to the next token"),
  CALL_MILLIS("from a plain call to its response"),
  QUEUE_MILLIS("waiting for a free target"),
  RESENT_TOKENS("accepted tokens sent to a further attempt"),
  SECOND_ATTEMPTS("attempts started on suspicion, beside a live one");

  private final String description;

  Measurement(String description) {
    this.description = description;
  }

  public String description() {
    return description;
  }
}
