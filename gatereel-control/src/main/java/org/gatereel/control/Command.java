package org.gatereel.control;

/** One command of the tool. */
public interface Command {
  /**
   * Carries the command out.
   *
   * @throws ControlException if it cannot be carried out
   */
  ExitCode run(AdminClient client, Printer printer) throws ControlException;
}
