package org.gatereel.forward;

import java.util.Set;

/**
 * The names of the headers by which callers, this host and targets understand each other.
 *
 * @param requestId the caller's id of a request; a target's answer carries it back
 * @param remainingMillis how long the caller waits, in milliseconds
 * @param key the caller's key, which no target is shown
 * @param account the client account that a target is told
 * @param expectedTarget the id of the target that is meant
 * @param signature the mark of a target's own answer
 * @param notExecuted a target's promise that it did not run the request
 * @param limit how many requests a second a target takes from all hosts together, as a decimal
 *     number
 * @param leaving a target's word that it is about to end
 * @param tokenCounts the tokens of the prompt and the most that come out, joined by a comma
 * @param promptParts the parts of the prompt in their order, each as name:tokens, joined by commas
 * @param copyTo the address of the engine that is to hold a copy of the run
 * @param continueFrom the copy that a run goes on from
 * @param urgency 0 for the most urgent
 * @param reservedNames names, in small letters, that only this host may set towards targets
 * @param knownResponseHeaders names, in small letters, of the headers of targets' answers that are
 *     read or need no reading
 */
public record HeaderNames(
    String requestId,
    String remainingMillis,
    String key,
    String account,
    String expectedTarget,
    String signature,
    String notExecuted,
    String limit,
    String leaving,
    String tokenCounts,
    String promptParts,
    String copyTo,
    String continueFrom,
    String urgency,
    Set<String> reservedNames,
    Set<String> knownResponseHeaders) {
  /** The name that the standard for server-sent events gives. */
  public static final String LAST_EVENT_ID = "Last-Event-Id";

  public HeaderNames {
    reservedNames = Set.copyOf(reservedNames);
    knownResponseHeaders = Set.copyOf(knownResponseHeaders);
  }
}
