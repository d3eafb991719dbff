package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A roll-out is ordered while the store is slow, and then a route moves to another service. No host
 * in touch may let the old service run requests that were sent after the bound of the configuration.
 */
public final class StaleHostCase {
  private static final long CONTACT_MILLIS = 4_000;
  private static final long CONFIGURATION_MILLIS = 3_000;

  private static final Map<String, String> BOUNDS =
      Map.ofEntries(
          Map.entry("bounds.strict_revocation", "true"),
          Map.entry("bounds.revocation_ms", "5000"),
          Map.entry("bounds.configuration_ms", Long.toString(CONFIGURATION_MILLIS)),
          Map.entry("bounds.drain_ms", "3000"),
          Map.entry("bounds.grace_s", "8"),
          Map.entry("bounds.retry_budget_ratio", "0.8"),
          Map.entry("bounds.budget_slack", "150"),
          Map.entry("bounds.budget_window_s", "10"),
          Map.entry("bounds.exposure_share", "0.1"),
          Map.entry("bounds.exposure_slack", "50"),
          Map.entry("bounds.rollback_ms", "5000"));

  private static final double SLOWNESS = 60;

  /** The longest answer of the slow store, a transaction of 5 ms. */
  private static final long LONGEST_ANSWER_MILLIS = 300;

  private static final long SLOW_BEFORE_ORDER_MILLIS = 1_000;
  private static final long SLOW_AFTER_ORDER_MILLIS = 2_000;
  private static final long CHANGE_AFTER_SLOW_MILLIS = 500;
  private static final long WATCHED_MILLIS = 9_000;
  private static final long PAUSE_MILLIS = 25;

  private static final long MARGIN_MILLIS = 100;
  private static final long WORK_MILLIS = 20;

  private final Deployment deployment;
  private final boolean trouble;
  private final Map<String, String> serviceThatRan = new ConcurrentHashMap<>();
  private final List<Sent> sent = new CopyOnWriteArrayList<>();
  private final AtomicLong lastNumber = new AtomicLong();
  private volatile boolean ended;

  private record Sent(String id, String host, long at) {}

  private StaleHostCase(Deployment deployment, boolean trouble) {
    this.deployment = deployment;
    this.trouble = trouble;
  }

  public static void main(String[] arguments) throws IOException {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status;
    try (Deployment deployment = new Deployment(Path.of(arguments[0]), BOUNDS)) {
      status = new StaleHostCase(deployment, trouble).play() ? 0 : 1;
    } catch (IOException | RuntimeException e) {
      e.printStackTrace();
      status = 2;
    }
    System.exit(status);
  }

  /** Returns whether the rule held. */
  private boolean play() throws IOException {
    Store store = deployment.store();
    startEngines("report-before", "v1");
    startEngines("report-after", "v1");
    startEngines("points-api", "v1");
    store.put("op", "config", configuration(1, "report-before"));
    deployment.startHosts("hall-a", "hall-b", "hall-c");
    deployment.hosts().forEach(host -> startClient(host, "/report/"));
    deployment.hosts().forEach(host -> startClient(host, "/points/"));
    startEngines("points-api", "v2");
    Threads.sleep(2_000);

    setSlowness(SLOWNESS);
    Threads.sleep(SLOW_BEFORE_ORDER_MILLIS);
    store.put(
        "op",
        "rollout/points-api",
        "{\"service\":\"points-api\",\"target_version\":\"v2\",\"duration_s\":20}");
    deployment.record().say("operator", "roll-out of points-api to v2 is ordered");
    Threads.sleep(SLOW_AFTER_ORDER_MILLIS);
    setSlowness(1);
    long stableSince = Threads.nowMillis() + (trouble ? LONGEST_ANSWER_MILLIS : 0);

    Threads.sleep(CHANGE_AFTER_SLOW_MILLIS);
    store.put("op", "config", configuration(2, "report-after"));
    long acknowledgedAt = Threads.nowMillis();
    deployment.record().say("operator", "configuration 2 is acknowledged: /report/ goes to report-after");
    Threads.sleep(WATCHED_MILLIS);
    ended = true;
    return judge(Math.max(stableSince + CONTACT_MILLIS, acknowledgedAt + CONFIGURATION_MILLIS));
  }

  private void setSlowness(double slowness) {
    if (trouble) {
      deployment.store().setSlowness(slowness);
    }
  }

  private void startEngines(String service, String version) throws IOException {
    for (String zone : List.of("hall-a", "hall-b")) {
      String id = "i-" + service + "-" + version + "-" + zone;
      new Engine(id, service, zone, version, deployment.store(), deployment.record(), this::run);
    }
  }

  private Engine.Answer run(Engine engine, HttpMessage request) {
    serviceThatRan.put(request.header("X-Attempt-Id"), engine.service());
    Threads.sleep(WORK_MILLIS);
    return Engine.Answer.ok(engine.service().getBytes(StandardCharsets.US_ASCII));
  }

  private void startClient(EntryHost host, String path) {
    Threads.start("client of " + host.name(), () -> sendRequests(host, path));
  }

  private void sendRequests(EntryHost host, String path) {
    while (!ended) {
      sendRequest(host, path);
      Threads.sleep(PAUSE_MILLIS);
    }
  }

  private void sendRequest(EntryHost host, String path) {
    String id = "a" + lastNumber.incrementAndGet();
    String request =
        "GET %s1 HTTP/1.1\r\nHost: gate.example\r\nX-Attempt-Id: %s\r\nX-Time-Remaining: 3000\r\n\r\n"
            .formatted(path, id);
    if (path.equals("/report/")) {
      sent.add(new Sent(id, host.name(), Threads.nowMillis()));
    }
    deployment.record().write("client", "sends " + id + " " + path + " to " + host.name());
    try (Client client = new Client(host.front())) {
      HttpMessage answer = client.call(request);
      String body = new String(answer.body(), StandardCharsets.US_ASCII);
      deployment.record().write("client", id + " answered " + answer.status() + " " + body);
    } catch (IOException e) {
      deployment.record().write("client", id + " failed: " + e);
    }
  }

  /** Judges the requests for reports that were sent after all hosts had to know the change. */
  private boolean judge(long from) {
    CaseRecord record = deployment.record();
    long broken = 0;
    long judged = 0;
    for (Sent request : sent) {
      if (request.at() < from + MARGIN_MILLIS) {
        continue;
      }
      judged++;
      if ("report-before".equals(serviceThatRan.get(request.id()))) {
        broken++;
        record.write(
            "CONFIG",
            request.id() + " sent at " + record.inRecord(request.at()) + " to " + request.host()
                + " was run by report-before");
      }
    }
    record.say("CONFIG", "judged from " + record.inRecord(from) + ": " + broken + " of " + judged
        + " requests were run by the service of the older configuration");
    return broken == 0;
  }

  private static String configuration(int version, String reportService) {
    return """
        {"version":%d,"routes":[
          {"name":"r-report","host":"gate.example","path_prefix":"/report/","kind":"safe",
           "timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"%s","attempts":2,
           "public":true},
          {"name":"r-points","host":"gate.example","path_prefix":"/points/","kind":"safe",
           "timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"points-api",
           "attempts":2,"public":true}],
         "services":[
          {"name":"report-before","health_path":"/health","connection_limit":110},
          {"name":"report-after","health_path":"/health","connection_limit":110},
          {"name":"points-api","health_path":"/health","connection_limit":110}],
         "limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,
          "idle_timeout_ms":15000},
         "tenants":[{"name":"tenant-1","api_keys":["key-1"],"priority":1}]}"""
        .formatted(version, reportService);
  }
}
