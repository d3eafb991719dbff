package org.gatereel.core;

/** The superclass of the checked exceptions of this library. */
public abstract class GatereelException extends Exception {
  private static final long serialVersionUID = 1L;

  protected GatereelException(String message) {
    super(message);
  }

  protected GatereelException(String message, Throwable cause) {
    super(message, cause);
  }
}
