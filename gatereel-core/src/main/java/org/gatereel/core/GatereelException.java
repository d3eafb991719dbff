package org.gatereel.core;

/** The root of the failures that callers of this library are made to handle. */
public abstract class GatereelException extends Exception {
  private static final long serialVersionUID = 1L;

  protected GatereelException(String message) {
    super(message);
  }

  protected GatereelException(String message, Throwable cause) {
    super(message, cause);
  }
}
