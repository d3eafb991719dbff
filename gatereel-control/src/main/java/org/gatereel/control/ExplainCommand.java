package org.gatereel.control;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.gatereel.control.log.LogFiles;
import org.gatereel.control.log.LogLine;
import org.gatereel.core.event.EventCode;

/** Prints the events of one request, target or other subject from the log files of hosts. */
@Parameters(commandDescription = "tell from log files what became of a request: ID FILE...")
final class ExplainCommand implements LocalCommand {
  @Parameter(description = "ID FILE...", required = true)
  private List<String> arguments = new ArrayList<>();

  /** An event of the subject. */
  record Entry(String time, String host, String name, String detail, String meaning) {}

  @Override
  public ExitCode run(Printer printer) throws ControlException {
    if (arguments.size() < 2) {
      System.err.println("an id and at least one log file are needed");
      return ExitCode.USAGE;
    }
    String subject = arguments.get(0);
    List<Entry> entries =
        LogFiles.read(arguments.subList(1, arguments.size()), line -> line.contains(subject))
            .stream()
            .filter(line -> line.subject().equals(subject))
            .map(ExplainCommand::entry)
            .toList();
    printer.print(entries, entries.stream().map(ExplainCommand::line).toList());
    return entries.isEmpty() ? ExitCode.INCOMPLETE : ExitCode.DONE;
  }

  private static Entry entry(LogLine line) {
    return new Entry(line.time(), line.host(), line.name(), line.detail(), meaning(line.name()));
  }

  private static String meaning(String name) {
    return Stream.of(EventCode.values())
        .filter(code -> code.name().equals(name))
        .findFirst()
        .map(EventCode::description)
        .orElse("an event that this version does not know");
  }

  private static String line(Entry entry) {
    return String.format(
        "%s %-24s %-22s %s%n    %s",
        entry.time(), entry.host(), entry.name(), entry.meaning(), entry.detail());
  }
}
