package org.gatereel.control.table;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.gatereel.control.AdminClient;
import org.gatereel.control.Command;
import org.gatereel.control.ControlException;
import org.gatereel.control.ExitCode;
import org.gatereel.control.Printer;

/** Waits until a revision is in force on every reachable host. */
@Parameters(commandDescription = "wait until a revision is in force on every reachable host")
public final class WaitCommand implements Command {
  private static final long POLL_INTERVAL_MILLIS = 50;

  @Parameter(description = "REVISION", required = true)
  private String revisionText;

  private long revision;

  @Parameter(names = "--timeout-millis", description = "how long to wait")
  private long timeoutMillis = 14_000;

  private record Result(
      long revision, Set<String> inForce, Set<String> behind, Set<String> silent) {}

  @Override
  public ExitCode run(AdminClient client, Printer printer) throws ControlException {
    revision = Revisions.parse(revisionText);
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    Result result = queryHosts(client);
    while (!result.behind().isEmpty() && System.nanoTime() < deadline) {
      pause();
      result = queryHosts(client);
    }
    printer.print(result, lines(result));
    return result.behind().isEmpty() ? ExitCode.DONE : ExitCode.INCOMPLETE;
  }

  private Result queryHosts(AdminClient client) throws ControlException {
    Result result = new Result(revision, new TreeSet<>(), new TreeSet<>(), new TreeSet<>());
    for (String host : client.allHosts()) {
      try {
        boolean inForce = client.statusOf(host).revision() >= revision;
        (inForce ? result.inForce() : result.behind()).add(host);
      } catch (ControlException e) {
        result.silent().add(host);
      }
    }
    return result;
  }

  private static List<String> lines(Result result) {
    List<String> lines = new ArrayList<>();
    lines.add("in force on " + result.inForce().size() + " hosts: " + result.inForce());
    if (!result.behind().isEmpty()) {
      lines.add("not in force on " + result.behind());
    }
    if (!result.silent().isEmpty()) {
      lines.add("not reachable: " + result.silent());
    }
    return lines;
  }

  private static void pause() throws ControlException {
    try {
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new ControlException(ExitCode.INCOMPLETE, "interrupted", e);
    }
  }
}
