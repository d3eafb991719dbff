package org.gatereel.daemon.events;

/**
 * An event on the timeline of a host.
 *
 * @param sequence number of the event in this process; orders events of the same millisecond
 * @param wallClockMillis milliseconds since 1970 by the clock of this host
 */
public record TimelineEntry(
    long sequence,
    long wallClockMillis,
    String host,
    int number,
    String name,
    String subject,
    String detail) {}
