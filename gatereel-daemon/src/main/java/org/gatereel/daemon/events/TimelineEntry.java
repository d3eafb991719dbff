package org.gatereel.daemon.events;

/**
 * One event of one host.
 *
 * @param sequence counts the events of this process, so that those of one millisecond keep order
 * @param wallClockMillis milliseconds since 1970, by this host's clock
 */
public record TimelineEntry(
    long sequence,
    long wallClockMillis,
    String host,
    int number,
    String name,
    String subject,
    String detail) {}
