package org.gatereel.control;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import org.gatereel.control.log.LogFiles;
import org.gatereel.control.log.LogLine;
import org.gatereel.control.log.LogSummary;

/** Prints statistics of all requests in the log files of hosts. */
@Parameters(commandDescription = "tell from log files how requests fared: FILE...")
final class SummaryCommand implements LocalCommand {
  @Parameter(description = "FILE...", required = true)
  private List<String> files = new ArrayList<>();

  @Override
  public ExitCode run(Printer printer) throws ControlException {
    List<LogLine> lines = LogFiles.read(files, line -> true);
    List<String> summary = LogSummary.of(lines).lines();
    printer.print(summary, summary);
    return lines.isEmpty() ? ExitCode.INCOMPLETE : ExitCode.DONE;
  }
}
