package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** The store, the record and the entry hosts of one case; ends all processes when it is closed. */
public final class Deployment implements AutoCloseable {
  /** Hosts that start together read the list of hosts four times within this time. */
  private static final long ACQUAINTANCE_MILLIS = 7_000;

  private final Map<String, String> bounds;
  private final Path folder = Files.createTempDirectory("gatereel-review");
  private final List<EntryHost> hosts = new ArrayList<>();
  private final CaseRecord record;
  private final Store store;

  public Deployment(Path recordFile, Map<String, String> bounds) throws IOException {
    this.bounds = bounds;
    record = new CaseRecord(recordFile);
    store = new Store(record);
    Runtime.getRuntime().addShutdownHook(new Thread(this::endHosts));
  }

  public CaseRecord record() {
    return record;
  }

  public Store store() {
    return store;
  }

  public List<EntryHost> hosts() {
    return hosts;
  }

  /** Returns the output of a host so far. */
  public String output(EntryHost host) throws IOException {
    return Files.readString(folder.resolve(host.name() + ".log"));
  }

  /** Starts one host in each zone, waits until they are ready and then until they know each other. */
  public void startHosts(String... zones) throws IOException {
    for (String zone : zones) {
      hosts.add(new EntryHost("front-" + zone, zone, store, bounds, folder, record));
    }
    hosts.forEach(EntryHost::awaitReady);
    record.say("platform", "all hosts are ready");
    Threads.sleep(ACQUAINTANCE_MILLIS);
  }

  private void endHosts() {
    hosts.forEach(EntryHost::close);
  }

  @Override
  public void close() throws IOException {
    endHosts();
    store.close();
    record.close();
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
