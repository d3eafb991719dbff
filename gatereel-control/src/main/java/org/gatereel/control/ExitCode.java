package org.gatereel.control;

/** The exit codes of the command line tool. */
public enum ExitCode {
  DONE(0),
  /** The command was executed in part, or found nothing. */
  INCOMPLETE(1),
  USAGE(2),
  /** A host rejected the request; its problem document was printed. */
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
