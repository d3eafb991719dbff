package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An entry host as a process of its own, started with the command and template of the deploy file. */
public final class EntryHost implements AutoCloseable {
  private static final long START_TIMEOUT_MILLIS = 20_000;
  private static final int SHOWN_OUTPUT = 2_000;
  private static final int FIRST_PORT = 20_000;
  private static final int LAST_PORT = 32_000;
  private static final Set<Integer> TAKEN_PORTS = ConcurrentHashMap.newKeySet();

  private final String name;
  private final CaseRecord record;
  private final Path folder;
  private Process process;
  private final String front;
  private final String ready;

  public EntryHost(
      String name, String zone, Store store, Map<String, String> bounds, Path folder, CaseRecord record)
      throws IOException {
    this.name = name;
    this.record = record;
    this.folder = folder;
    front = freeAddress();
    ready = freeAddress();
    Map<String, String> fields = new TreeMap<>(bounds);
    fields.put("node", name);
    fields.put("zone", zone);
    fields.put("ip", "127.0.0.1");
    fields.put("listen.front", front);
    fields.put("listen.ready", ready);
    fields.put("internal_ports.0", portOf(freeAddress()));
    fields.put("internal_ports.1", portOf(freeAddress()));
    fields.put("platform.address", store.address());
    Files.writeString(settings(), fill(Files.readString(Path.of("deploy/host.json")), fields));
    start();
  }

  private Path settings() {
    return folder.resolve(name + ".json");
  }

  /** Starts the process, again with the same settings if it has ended. */
  public void start() throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command().split(" "));
    builder.environment().put("GATEREEL_BOOT", settings().toString());
    Path output = folder.resolve(name + ".log");
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output.toFile()));
    process = builder.start();
    record.say(name, "started as process " + process.pid());
  }

  private static String command() throws IOException {
    Matcher run =
        Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
    run.find();
    return run.group(1);
  }

  /** Returns an address that nothing uses, below the ports that the system gives to connections. */
  private static String freeAddress() {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
      if (TAKEN_PORTS.add(port) && isFree(port)) {
        return "127.0.0.1:" + port;
      }
    }
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }

  private static String portOf(String address) {
    return address.substring(address.indexOf(':') + 1);
  }

  /** Fills the gaps of the template as the deploy page says. */
  private static String fill(String template, Map<String, String> fields) {
    Matcher section = Pattern.compile("\\{\\{([#^])([a-z_.0-9]+)}}(.*?)\\{\\{/\\2}}").matcher(template);
    String expanded = section.replaceAll(found -> Matcher.quoteReplacement(expand(found, fields)));
    Matcher gap = Pattern.compile("\\{\\{([a-z_.0-9]+)(\\|json)?}}").matcher(expanded);
    return gap.replaceAll(
        found -> {
          String value = fields.getOrDefault(found.group(1), "");
          return Matcher.quoteReplacement(found.group(2) == null ? value : '"' + value + '"');
        });
  }

  private static String expand(java.util.regex.MatchResult section, Map<String, String> fields) {
    String value = fields.getOrDefault(section.group(2), "");
    boolean isGiven = !value.isEmpty() && !value.equals("false");
    boolean wantsGiven = section.group(1).equals("#");
    return isGiven == wantsGiven ? section.group(3).replace("{{.}}", value) : "";
  }

  public String name() {
    return name;
  }

  public String front() {
    return front;
  }

  /** Returns whether the platform's question for readiness gets 200. */
  public boolean isReady() {
    try (Client client = new Client(ready)) {
      return client.call("GET /api/ready HTTP/1.1\r\nHost: " + ready + "\r\n\r\n").status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  public void awaitReady() {
    long until = Threads.nowMillis() + START_TIMEOUT_MILLIS;
    while (!isReady()) {
      if (Threads.nowMillis() > until) {
        throw new IllegalStateException(name + " did not become ready: " + lastOutput());
      }
      Threads.sleep(50);
    }
  }

  private String lastOutput() {
    try {
      String output = Files.readString(folder.resolve(name + ".log"));
      return output.substring(Math.max(0, output.length() - SHOWN_OUTPUT));
    } catch (IOException e) {
      return "no output";
    }
  }

  public boolean isAlive() {
    return process.isAlive();
  }

  /** Sends SIGTERM and records when the process ends. */
  public void terminate() {
    record.say(name, "SIGTERM");
    process.onExit().thenAccept(ended -> record.say(name, "the process has ended"));
    process.destroy();
  }

  /** Sends SIGKILL. */
  public void kill() {
    record.say(name, "SIGKILL");
    process.destroyForcibly();
  }

  @Override
  public void close() {
    process.destroyForcibly();
    try {
      process.waitFor(5, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
