package org.gatereel.control;

/** A command that needs neither the administration API nor a key. */
interface LocalCommand {
  /**
   * Executes the command.
   *
   * @throws ControlException if it fails
   */
  ExitCode run(Printer printer) throws ControlException;
}
