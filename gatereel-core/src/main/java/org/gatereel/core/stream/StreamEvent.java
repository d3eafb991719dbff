package org.gatereel.core.stream;

import java.util.OptionalLong;

/**
 * One complete block of an event stream, including its final blank line.
 *
 * @param id the event's id, if it has a numeric one
 * @param hasData whether the block dispatches an event; without data it only carries fields or a
 *     comment
 */
@SuppressWarnings("ArrayRecordComponent") // never compared
public record StreamEvent(OptionalLong id, boolean hasData, byte[] bytes) {
  private static final int MAX_BLANK_BYTES = 2;

  /**
   * Returns whether the block is neither an event nor carries an id, such as a keep-alive comment.
   */
  public boolean isComment() {
    return id.isEmpty() && !hasData;
  }

  /** Returns whether the block has no line but the blank one that ends it. */
  public boolean isBlank() {
    return bytes.length <= MAX_BLANK_BYTES;
  }
}
