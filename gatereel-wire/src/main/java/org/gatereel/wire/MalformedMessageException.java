package org.gatereel.wire;

import org.gatereel.core.GatereelException;

/** Thrown when a message of a peer cannot be decoded. */
public final class MalformedMessageException extends GatereelException {
  private static final long serialVersionUID = 1L;

  public MalformedMessageException(String message) {
    super(message);
  }

  public MalformedMessageException(String message, Throwable cause) {
    super(message, cause);
  }
}
