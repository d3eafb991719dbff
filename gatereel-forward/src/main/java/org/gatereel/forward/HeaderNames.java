package org.gatereel.forward;

import java.util.Set;

/**
 * The names of the headers used between callers, hosts and targets.
 *
 * @param requestId the caller's id of a request, which a target's response repeats
 * @param remainingMillis the time that remains until the caller's deadline, in milliseconds
 * @param key the caller's key, which is not forwarded to targets
 * @param account the client account of a forwarded request
 * @param expectedTarget the id of the target that a request is addressed to
 * @param signature present in responses that the target itself made
 * @param notExecuted present in responses to requests that the target did not execute
 * @param limit the requests per second that a target accepts from all hosts together, a decimal
 *     number
 * @param leaving present if the target announces that it is draining
 * @param tokenCounts the number of prompt tokens and the maximum number of output tokens, separated
 *     by a comma
 * @param outputEstimate the caller's estimate of the tokens of the output
 * @param promptParts the parts of the prompt in order, each as name:tokens, separated by commas
 * @param copyTo the address of the engine that stores a copy of the execution
 * @param continueFrom the address of the copy from which the execution continues
 * @param urgency 0 for the most urgent requests
 * @param reservedNames names in lower case that callers' requests may not set towards targets
 * @param knownResponseHeaders names in lower case of response headers that are read or deliberately
 *     ignored
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
    String outputEstimate,
    String promptParts,
    String copyTo,
    String continueFrom,
    String urgency,
    Set<String> reservedNames,
    Set<String> knownResponseHeaders) {
  /** Defined by the specification of server-sent events. */
  public static final String LAST_EVENT_ID = "Last-Event-Id";

  public HeaderNames {
    reservedNames = Set.copyOf(reservedNames);
    knownResponseHeaders = Set.copyOf(knownResponseHeaders);
  }
}
