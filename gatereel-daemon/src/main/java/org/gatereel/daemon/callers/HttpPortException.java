package org.gatereel.daemon.callers;

import org.gatereel.core.GatereelException;
import org.gatereel.core.model.Address;

/** Thrown when the HTTP address for callers cannot be bound. */
public final class HttpPortException extends GatereelException {
  private static final long serialVersionUID = 1L;

  public HttpPortException(Address address, Throwable cause) {
    super("cannot listen for callers at " + address, cause);
  }
}
