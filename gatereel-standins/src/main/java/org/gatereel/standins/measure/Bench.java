package org.gatereel.standins.measure;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import okhttp3.Dispatcher;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.gatereel.standins.StandInServer;
import org.gatereel.standins.load.GenerationCaller;

/** The processes that an experiment runs against, all on loopback. */
final class Bench implements AutoCloseable {
  private static final MediaType JSON = MediaType.get("application/json");
  private static final int MOST_REQUESTS = 2_000;

  private final List<String> hosts;
  private final Map<String, String> engines;
  private final String service;
  private final String operatorKey;
  private final OkHttpClient client;

  record Row(long revision) {}

  private record Change(String editId, long basedOn, Map<String, String> cells) {}

  private record Edit(Row row) {}

  /** Counts of the work that an engine has done. */
  record EngineCounters(long promptTokensComputed, long tokensGenerated, long started) {}

  Bench(List<String> hosts, Map<String, String> engines, String service, String operatorKey) {
    this.hosts = hosts;
    this.engines = engines;
    this.service = service;
    this.operatorKey = operatorKey;
    Dispatcher dispatcher = new Dispatcher();
    dispatcher.setMaxRequests(MOST_REQUESTS);
    dispatcher.setMaxRequestsPerHost(MOST_REQUESTS);
    client =
        new OkHttpClient.Builder()
            .dispatcher(dispatcher)
            .readTimeout(Duration.ofSeconds(20))
            .retryOnConnectionFailure(false)
            .build();
  }

  List<String> hosts() {
    return hosts;
  }

  List<String> engineNames() {
    return List.copyOf(engines.keySet());
  }

  OkHttpClient client() {
    return client;
  }

  /** Returns the base address of the plain service itself. */
  String service() {
    return service;
  }

  String engine(String name) {
    return engines.get(name);
  }

  /** Returns the key of one of the accounts that bin/measure sets up. */
  static String accountKey(int number) {
    return "measure-key-" + number;
  }

  GenerationCaller caller(int account) {
    return new GenerationCaller(client, hosts, accountKey(account), 60_000);
  }

  /** Sends a request and returns its body; a status of 400 or more is a failure. */
  String send(Request.Builder request) throws IOException {
    try (Response response = client.newCall(request.build()).execute()) {
      String body = response.body().string();
      if (response.code() >= 400) {
        throw new IOException("status " + response.code() + ": " + body);
      }
      return body;
    }
  }

  void tell(String engine, String command) throws IOException {
    send(
        new Request.Builder()
            .url(engines.get(engine) + "/control/" + command)
            .post(RequestBody.create(new byte[0], JSON)));
  }

  EngineCounters counters() throws IOException {
    long prompt = 0;
    long generated = 0;
    long started = 0;
    for (long[] one : countersByEngine()) {
      prompt += one[0];
      generated += one[1];
      started += one[2];
    }
    return new EngineCounters(prompt, generated, started);
  }

  /** Returns prompt tokens computed, tokens generated and streams started of each engine. */
  List<long[]> countersByEngine() throws IOException {
    List<long[]> all = new ArrayList<>();
    for (String address : engines.values()) {
      JsonNode node =
          StandInServer.MAPPER.readTree(send(new Request.Builder().url(address + "/counters")));
      all.add(
          new long[] {
            node.path("promptTokensComputed").asLong(),
            node.path("tokensGenerated").asLong(),
            node.path("started").asLong()
          });
    }
    return all;
  }

  private Request.Builder admin(int host, String path) {
    return new Request.Builder()
        .url(hosts.get(host) + "/admin/" + path)
        .header("Authorization", "Bearer " + operatorKey);
  }

  /** Sets cells of a row at a host; returns the resulting revision. */
  long set(int host, String row, Map<String, String> cells) throws IOException {
    long basedOn;
    try {
      basedOn =
          StandInServer.MAPPER.readValue(send(admin(host, "table/" + row)), Row.class).revision();
    } catch (IOException e) {
      basedOn = 0;
    }
    Change change = new Change(UUID.randomUUID().toString(), basedOn, cells);
    byte[] body = StandInServer.MAPPER.writeValueAsBytes(change);
    String response = send(admin(host, "table/" + row).put(RequestBody.create(body, JSON)));
    return StandInServer.MAPPER.readValue(response, Edit.class).row().revision();
  }

  /** Returns the revision that is in force on a host. */
  long revision(int host) throws IOException {
    return StandInServer.MAPPER.readTree(send(admin(host, "status"))).path("revision").asLong();
  }

  /** Waits until a revision is in force on every host. */
  void awaitRevision(long revision) throws IOException {
    for (int host = 0; host < hosts.size(); host++) {
      while (revision(host) < revision) {
        Thread.onSpinWait();
      }
    }
  }

  /** Returns one value of a host's metrics page, summed over its labels. */
  double metric(int host, String name) throws IOException {
    String page = send(new Request.Builder().url(hosts.get(host) + "/metrics"));
    Pattern line = Pattern.compile("(?m)^" + name + "(\\{[^}]*\\})? ([-0-9.E+]+)$");
    Matcher matcher = line.matcher(page);
    double sum = 0;
    while (matcher.find()) {
      sum += Double.parseDouble(matcher.group(2));
    }
    return sum;
  }

  @Override
  public void close() {
    client.dispatcher().executorService().shutdownNow();
    client.connectionPool().evictAll();
  }
}
