package org.gatereel.wire;

import org.gatereel.core.GatereelException;
import org.gatereel.core.model.Address;

/** Thrown when the address for connections of peers cannot be bound. */
public final class PeerPortException extends GatereelException {
  private static final long serialVersionUID = 1L;

  public PeerPortException(Address address, Throwable cause) {
    super("cannot listen for peers at " + address, cause);
  }
}
