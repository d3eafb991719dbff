package org.gatereel.control;

/** A command that sends requests to entry hosts. */
public interface Command {
  /**
   * Executes the command.
   *
   * @throws ControlException if it fails
   */
  ExitCode run(AdminClient client, Printer printer) throws ControlException;
}
