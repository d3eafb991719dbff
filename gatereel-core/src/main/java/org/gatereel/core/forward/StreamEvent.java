package org.gatereel.core.forward;

import java.util.OptionalLong;

/**
 * One whole block of a stream, with the blank line that ends it.
 *
 * @param id the event's number, if it has one
 * @param hasData whether the caller's reader makes an event of it
 */
@SuppressWarnings("ArrayRecordComponent") // compared by nobody
public record StreamEvent(OptionalLong id, boolean hasData, byte[] bytes) {
  /** Returns whether this only keeps a connection open: no event, and no place in the stream. */
  boolean isComment() {
    return id.isEmpty() && !hasData;
  }
}
