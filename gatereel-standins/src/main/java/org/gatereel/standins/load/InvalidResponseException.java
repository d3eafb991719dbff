package org.gatereel.standins.load;

import org.gatereel.core.GatereelException;

/** A response that does not continue the tokens of one generation. */
public final class InvalidResponseException extends GatereelException {
  private static final long serialVersionUID = 1L;

  public InvalidResponseException(String message) {
    super(message);
  }
}
