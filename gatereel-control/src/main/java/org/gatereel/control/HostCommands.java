package org.gatereel.control;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.gatereel.core.HostStatus;

/** The commands that inspect and drain hosts. */
final class HostCommands {
  private HostCommands() {}

  /** Prints the state of every host. */
  @Parameters(commandDescription = "print the state of every reachable host")
  static final class Status implements Command {
    @Override
    public ExitCode run(AdminClient client, Printer printer) throws ControlException {
      List<HostStatus> all = new ArrayList<>();
      List<String> lines = new ArrayList<>();
      ExitCode exit = ExitCode.DONE;
      for (String host : client.allHosts()) {
        try {
          HostStatus status = client.statusOf(host);
          all.add(status);
          lines.add(line(status));
        } catch (ControlException e) {
          lines.add(host + " does not answer");
          exit = ExitCode.INCOMPLETE;
        }
      }
      printer.print(all, lines);
      return exit;
    }

    private static String line(HostStatus status) {
      long answering = status.peers().stream().filter(HostStatus.PeerStatus::answering).count();
      return String.format(
          "%-12s %-12s revision %d  generations %d  copies %d  waiting %d  calls %d"
              + "  peers %d/%d  targets %d%s",
          status.host(),
          status.dataCentre(),
          status.revision(),
          status.openGenerations(),
          status.heldCopies(),
          status.waiting(),
          status.openCalls(),
          answering,
          status.peers().size(),
          status.targets().size(),
          status.draining() ? "  draining" : "");
    }
  }

  /** Prints the events of all hosts, ordered by time. */
  @Parameters(commandDescription = "print the events of all hosts as one ordered time line")
  static final class Timeline implements Command {
    @Parameter(names = "--request", description = "only events of one request")
    private String request = "";

    @Parameter(names = "--since", description = "only events since this time, in ms since 1970")
    private long since;

    @Override
    public ExitCode run(AdminClient client, Printer printer) throws ControlException {
      List<AdminMessages.TimelineEntry> entries = new ArrayList<>();
      ExitCode exit = ExitCode.DONE;
      for (String host : client.allHosts()) {
        try {
          entries.addAll(client.timelineOf(host, since, request));
        } catch (ControlException e) {
          System.err.println(e.getMessage());
          exit = ExitCode.INCOMPLETE;
        }
      }
      entries.sort(
          Comparator.comparingLong(AdminMessages.TimelineEntry::wallClockMillis)
              .thenComparing(AdminMessages.TimelineEntry::host)
              .thenComparingLong(AdminMessages.TimelineEntry::sequence));
      printer.print(entries, entries.stream().map(Printer::format).toList());
      return exit;
    }
  }

  /** Makes one host report that it is not ready, so that the balancer sends it no requests. */
  @Parameters(commandDescription = "take one host out of the balancer: ip:port")
  static final class Drain implements Command {
    @Parameter(description = "ip:port", required = true)
    private String host;

    @Override
    public ExitCode run(AdminClient client, Printer printer) throws ControlException {
      client.drain(host);
      printer.print(host, List.of(host + " is not ready any more"));
      return ExitCode.DONE;
    }
  }
}
