package org.gatereel.core.model;

/**
 * What a caller asked to have generated; the same for every attempt.
 *
 * @param maximumTokens the number of tokens after which the engine stops
 * @param priority 0 (first) to 9 (last), passed on to the engine
 */
public record GenerationSpec(
    RequestId request,
    AccountId account,
    ServiceName service,
    String prompt,
    int maximumTokens,
    int priority) {}
