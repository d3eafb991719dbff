package org.gatereel.core.edit;

import org.gatereel.core.GatereelException;

/** A stored edit that cannot be decoded. */
public final class MalformedEditException extends GatereelException {
  private static final long serialVersionUID = 1L;

  public MalformedEditException(String text, Throwable cause) {
    super("malformed edit: " + text, cause);
  }
}
