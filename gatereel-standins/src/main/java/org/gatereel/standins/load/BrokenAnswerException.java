package org.gatereel.standins.load;

import org.gatereel.core.GatereelException;

/** An answer that is not what one generation would have been. */
public final class BrokenAnswerException extends GatereelException {
  private static final long serialVersionUID = 1L;

  public BrokenAnswerException(String message) {
    super(message);
  }
}
