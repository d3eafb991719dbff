package org.gatereel.core.room;

/**
 * What limits the requests that an engine of a service can take.
 *
 * @param cacheTokens how many tokens the memory of an engine holds
 * @param objectiveMillis the longest objective for the first event among the service's routes, in
 *     milliseconds
 */
public record EngineLimits(long cacheTokens, long objectiveMillis) {}
