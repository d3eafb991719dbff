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

/** Prints the state of a service's rollout on each host, with the evidence for its decision. */
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
    int unreachable = 0;
    for (String host : hosts) {
      try {
        linesOfService(readRollouts(host)).forEach(line -> lines.add(host + " " + line));
      } catch (IOException e) {
        unreachable++;
        lines.add(host + " does not answer: " + e.getMessage());
      }
    }
    printer.print(lines, lines);
    if (unreachable == hosts.size()) {
      return ExitCode.UNREACHABLE;
    }
    return unreachable > 0 ? ExitCode.INCOMPLETE : ExitCode.DONE;
  }

  private List<String> readRollouts(String host) throws IOException, ControlException {
    HttpUrl page = HttpUrl.parse("http://" + host + "/rollouts");
    if (page == null) {
      throw new ControlException(ExitCode.USAGE, "not an IP:PORT address: " + host);
    }
    try (Response response = client.newCall(new Request.Builder().url(page).build()).execute()) {
      if (!response.isSuccessful()) {
        throw new IOException("status " + response.code());
      }
      if (!hasMarkedEnd(response)) {
        throw new IOException("the page has no length and may be truncated");
      }
      return response.body().string().lines().toList();
    }
  }

  /** Returns whether a length or chunks show that the body is whole. */
  private static boolean hasMarkedEnd(Response response) {
    return response.body().contentLength() >= 0
        || "chunked".equalsIgnoreCase(response.header("Transfer-Encoding"));
  }

  /** Returns the line of the service and the indented lines of evidence that follow it. */
  private List<String> linesOfService(List<String> page) {
    List<String> found = new ArrayList<>();
    boolean inService = false;
    for (String line : page) {
      boolean evidence = line.startsWith(" ");
      inService = evidence ? inService : line.startsWith(service + " ");
      if (inService) {
        found.add(line);
      }
    }
    return found.isEmpty() ? List.of("no roll-out of " + service + " is known") : found;
  }
}
