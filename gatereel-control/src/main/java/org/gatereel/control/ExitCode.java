package org.gatereel.control;

/** How a command ended, for scripts. */
public enum ExitCode {
  DONE(0),
  /** The command did what it could, but not all that was asked. */
  INCOMPLETE(1),
  USAGE(2),
  /** The host refused; its problem document was printed. */
  REFUSED(3),
  /** No host could be reached. */
  UNREACHABLE(4);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Returns the exit code of the process. */
  public int number() {
    return number;
  }
}
