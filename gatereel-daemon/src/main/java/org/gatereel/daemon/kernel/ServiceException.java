package org.gatereel.daemon.kernel;

import org.gatereel.core.GatereelException;

/** Thrown when a service cannot be started, found or closed. */
public final class ServiceException extends GatereelException {
  private static final long serialVersionUID = 1L;

  public ServiceException(String service, String what) {
    super("service " + service + " " + what);
  }

  public ServiceException(String service, String what, Throwable cause) {
    super("service " + service + " " + what, cause);
  }
}
