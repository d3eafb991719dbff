package org.gatereel.core.generation;

import org.gatereel.core.GatereelException;

/** A {@code Last-Event-ID} that {@link EventId#parse} cannot read. */
public final class MalformedEventIdException extends GatereelException {
  private static final long serialVersionUID = 1L;

  public MalformedEventIdException(String text) {
    super("not an event id of this system: \"" + text + "\"");
  }
}
