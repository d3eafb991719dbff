package org.gatereel.forward.http;

import org.gatereel.core.GatereelException;

/** Thrown for a caller's request that cannot be forwarded, such as one without a request id. */
final class MalformedRequestException extends GatereelException {
  private static final long serialVersionUID = 1L;

  MalformedRequestException(String message) {
    super(message);
  }
}
