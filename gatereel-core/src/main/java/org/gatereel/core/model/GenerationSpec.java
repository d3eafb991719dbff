package org.gatereel.core.model;

/**
 * A caller's request for a generation; the same for every attempt.
 *
 * @param maximumTokens the maximum number of tokens to generate
 * @param priority 0 (served first) to 9 (served last), sent to the engine
 */
public record GenerationSpec(
    RequestId request,
    AccountId account,
    ServiceName service,
    String prompt,
    int maximumTokens,
    int priority) {}
