package org.gatereel.control;

import org.gatereel.core.GatereelException;

/** Thrown when a command fails; carries the exit code of the process. */
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
