package org.gatereel.secondreview;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An entry host as its own process, started by the command of the deploy file. */
final class Host implements AutoCloseable {
  private static final long READY_TIMEOUT_MILLIS = 20_000;
  private static final int FIRST_PORT = 12_000;
  private static final int FIRST_EPHEMERAL_PORT = 32_000;
  private static final int MAX_PORT_ATTEMPTS = 50;
  private static final Pattern RUN = Pattern.compile("(?m)^run = \"([^\"]*)\"");

  private final Path folder;
  private final String name;
  private final String callers = freeAddress();
  private final String status = freeAddress();
  private final Path settings;
  private Process process;

  Host(Path folder, String name, String store) throws IOException {
    this.folder = folder;
    this.name = name;
    this.settings = Files.writeString(folder.resolve(name + ".json"), settingsText(store));
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcess));
  }

  private void endProcess() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  /** Returns an address with a port that the system does not give to other sockets by itself. */
  private static String freeAddress() throws IOException {
    InetAddress loopback = InetAddress.getByName("127.0.0.1");
    for (int attempt = 0; attempt < MAX_PORT_ATTEMPTS; attempt++) {
      int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, FIRST_EPHEMERAL_PORT);
      try (ServerSocket probe = new ServerSocket(port, 1, loopback)) {
        return "127.0.0.1:" + probe.getLocalPort();
      } catch (BindException e) {
        // Another process has this port.
      }
    }
    throw new IOException("no free port");
  }

  /** The template of the deploy file, filled in with the figures of the smallest deployment. */
  private String settingsText(String store) throws IOException {
    return """
        {"host": "%s", "dataCentre": "a", "callers": "%s", "status": "%s", "metrics": "%s",
         "peers": "%s", "platform": "%s",
         "bounds": {"strictRevocation": true, "revocationMillis": 5000,
           "configurationMillis": 2000, "drainMillis": 2000, "graceMillis": 8000,
           "retryRatio": 0.8, "retrySlack": 150, "retryWindowMillis": 10000,
           "exposureShare": 0.1, "exposureSlack": 50, "rollbackMillis": 5000},
         "features": ["URGENCY_ORDER", "STREAM_RETRIES", "TARGET_SPEED"]}
        """
        .formatted(name, callers, status, freeAddress(), freeAddress(), store);
  }

  String callers() {
    return callers;
  }

  void start() throws IOException {
    Matcher command = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!command.find()) {
      throw new IOException("deploy/system.toml has no run command");
    }
    List<String> words = new ArrayList<>(List.of(command.group(1).split(" ")));
    ProcessBuilder builder = new ProcessBuilder(words);
    builder.environment().put("GATEREEL_BOOT", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
    process = builder.start();
  }

  void awaitReady() throws IOException, InterruptedException {
    long deadline = Clock.millis() + READY_TIMEOUT_MILLIS;
    while (!isReady()) {
      if (Clock.millis() > deadline || !process.isAlive()) {
        throw new IOException("host " + name + " did not become ready");
      }
      Thread.sleep(20);
    }
  }

  boolean isReady() {
    try (Caller balancer = new Caller(status)) {
      return balancer.exchange("GET /api/ready HTTP/1.1\r\nHost: a\r\n\r\n").status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  boolean isRunning() {
    return process.isAlive();
  }

  /** Sends a signal by its name, such as STOP. */
  void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  void kill() throws InterruptedException {
    process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
  }

  @Override
  public void close() throws InterruptedException {
    if (process != null) {
      kill();
    }
  }
}
