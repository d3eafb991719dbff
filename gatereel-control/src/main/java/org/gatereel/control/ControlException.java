package org.gatereel.control;

import org.gatereel.core.GatereelException;

/** A command that could not be carried out; it knows the exit code. */
public final class ControlException extends GatereelException {
  private static final long serialVersionUID = 1L;
  private final ExitCode exitCode;

  public ControlException(ExitCode exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  public ControlException(ExitCode exitCode, String message, Throwable cause) {
    super(message, cause);
    this.exitCode = exitCode;
  }

  public ExitCode exitCode() {
    return exitCode;
  }
}
