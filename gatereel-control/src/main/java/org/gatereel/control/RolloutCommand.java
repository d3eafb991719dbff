package org.gatereel.control;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/** Prints what forwarding hosts know of a service's roll-out, and what each would decide. */
@Parameters(
    commandDescription =
        "tell how a roll-out stands: SERVICE --at IP:PORT,... (hosts' metrics addresses); for"
            + " example: rollout counters --at 10.0.0.1:7060,10.0.0.2:7060")
final class RolloutCommand implements LocalCommand {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);

  @Parameter(description = "SERVICE", required = true)
  private String service;

  @Parameter(names = "--at", description = "IP:PORT of each host's metrics", required = true)
  private List<String> hosts = new ArrayList<>();

  private final OkHttpClient client =
      new OkHttpClient.Builder().callTimeout(CALL_TIMEOUT).retryOnConnectionFailure(false).build();

  @Override
  public ExitCode run(Printer printer) throws ControlException {
    List<String> lines = new ArrayList<>();
    int silent = 0;
    for (String host : hosts) {
      try {
        linesOfService(readRollouts(host)).forEach(line -> lines.add(host + " " + line));
      } catch (IOException e) {
        silent++;
        lines.add(host + " does not answer: " + e.getMessage());
      }
    }
    printer.print(lines, lines);
    if (silent == hosts.size()) {
      return ExitCode.UNREACHABLE;
    }
    return silent > 0 ? ExitCode.INCOMPLETE : ExitCode.DONE;
  }

  private List<String> readRollouts(String host) throws IOException, ControlException {
    HttpUrl page = HttpUrl.parse("http://" + host + "/rollouts");
    if (page == null) {
      throw new ControlException(ExitCode.USAGE, "no IP:PORT: " + host);
    }
    try (Response answer = client.newCall(new Request.Builder().url(page).build()).execute()) {
      return answer.body().string().lines().toList();
    }
  }

  /** Returns the service's line and those of its evidence, which are set in below it. */
  private List<String> linesOfService(List<String> page) {
    List<String> found = new ArrayList<>();
    boolean within = false;
    for (String line : page) {
      boolean evidence = line.startsWith(" ");
      within = evidence ? within : line.startsWith(service + " ");
      if (within) {
        found.add(line);
      }
    }
    return found.isEmpty() ? List.of("no roll-out of " + service + " is known") : found;
  }
}
