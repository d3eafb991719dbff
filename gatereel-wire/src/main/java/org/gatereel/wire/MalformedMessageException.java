package org.gatereel.wire;

import org.gatereel.core.GatereelException;

/** A message of a peer that this version cannot read. */
public final class MalformedMessageException extends GatereelException {
  private static final long serialVersionUID = 1L;

  public MalformedMessageException(String message) {
    super(message);
  }

  public MalformedMessageException(String message, Throwable cause) {
    super(message, cause);
  }
}
