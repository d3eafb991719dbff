package org.gatereel.control;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.gatereel.core.HostStatus;
import org.gatereel.core.table.Row;
import org.gatereel.core.table.RowKey;
import org.gatereel.core.table.TableEdit;

/**
 * A client of the administration API of entry hosts.
 *
 * <p>A request that names no host is sent to the given hosts in order until one responds.
 */
public final class AdminClient implements AutoCloseable {
  static final ObjectMapper MAPPER =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();
  private static final MediaType JSON = MediaType.get("application/json");
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(8);
  private static final int NOT_FOUND = 404;

  private final OkHttpClient client =
      new OkHttpClient.Builder()
          .connectTimeout(Duration.ofSeconds(1))
          .callTimeout(CALL_TIMEOUT)
          .retryOnConnectionFailure(false)
          .build();
  private final List<String> hosts;
  private final String key;

  public AdminClient(List<String> hosts, String key) {
    this.hosts = List.copyOf(hosts);
    this.key = key;
  }

  /** Returns the table in force on the first host that responds. */
  public AdminMessages.Table table() throws ControlException {
    return read(get("admin/table"), new TypeReference<>() {});
  }

  /** Returns a row; if there is none, a row of revision 0 without cells. */
  public Row row(RowKey row) throws ControlException {
    ApiResponse response = firstResponse(get(rowRequest(row)));
    if (response.status() == NOT_FOUND) {
      return new Row(row, 0, false, new java.util.TreeMap<>());
    }
    return read(response, new TypeReference<>() {});
  }

  /**
   * Edits or deletes a row.
   *
   * <p>If a host does not respond, the edit is sent to the next one with the same edit id, so that
   * it takes effect at most once.
   *
   * @throws ControlException if the edit is rejected; on a conflict with another edit, the message
   *     shows the row in force
   */
  public TableEdit edit(RowKey row, boolean delete, AdminMessages.Change change)
      throws ControlException {
    byte[] json = write(change);
    Request.Builder request = new Request.Builder();
    RequestBody body = RequestBody.create(json, JSON);
    return read(
        new ApiRequest(
            rowRequest(row).segments(), List.of(), request.method(delete ? "DELETE" : "PUT", body)),
        new TypeReference<>() {});
  }

  public AdminMessages.History history(long after) throws ControlException {
    return read(
        new ApiRequest(
            "admin/history", List.of("after", Long.toString(after)), new Request.Builder()),
        new TypeReference<>() {});
  }

  /** Returns the state of the first host that responds. */
  public HostStatus status() throws ControlException {
    return read(get("admin/status"), new TypeReference<>() {});
  }

  /** Returns the state of one host. */
  public HostStatus statusOf(String host) throws ControlException {
    return read(send(host, get("admin/status")), new TypeReference<>() {});
  }

  /**
   * Returns the timeline of one host.
   *
   * @param since the earliest time, in milliseconds since 1970
   * @param subject restricts the events to one subject unless empty
   */
  public List<AdminMessages.TimelineEntry> timelineOf(String host, long since, String subject)
      throws ControlException {
    List<String> query = List.of("since", Long.toString(since), "subject", subject);
    return read(
        send(host, new ApiRequest("admin/timeline", query, new Request.Builder())),
        new TypeReference<>() {});
  }

  /** Makes one host report that it is not ready. */
  public void drain(String host) throws ControlException {
    RequestBody body = RequestBody.create(new byte[0], JSON);
    ApiRequest request = new ApiRequest("admin/drain", List.of(), new Request.Builder().post(body));
    checkSuccess(send(host, request));
  }

  /** Returns the given hosts and the peers of the first host that responds. */
  public Set<String> allHosts() throws ControlException {
    Set<String> all = new LinkedHashSet<>(hosts);
    status().peers().forEach(peer -> all.add(peer.description().httpAddress().toString()));
    return all;
  }

  /** A request to any host; {@code query} alternates between names and values of parameters. */
  private record ApiRequest(String segments, List<String> query, Request.Builder request) {}

  private record ApiResponse(int status, String body) {}

  private static ApiRequest get(String segments) {
    return new ApiRequest(segments, List.of(), new Request.Builder());
  }

  private static ApiRequest get(ApiRequest request) {
    return request;
  }

  private static ApiRequest rowRequest(RowKey row) {
    return get("admin/table/" + row.kind().externalName() + "/" + row.name());
  }

  private <T> T read(ApiRequest request, TypeReference<T> type) throws ControlException {
    return read(firstResponse(request), type);
  }

  private static <T> T read(ApiResponse response, TypeReference<T> type) throws ControlException {
    checkSuccess(response);
    try {
      return MAPPER.readValue(response.body(), type);
    } catch (IOException e) {
      throw new ControlException(
          ExitCode.REFUSED, "the response of the host is not valid JSON for this command", e);
    }
  }

  private static void checkSuccess(ApiResponse response) throws ControlException {
    if (response.status() >= 200 && response.status() < 300) {
      return;
    }
    throw new ControlException(ExitCode.REFUSED, describe(response));
  }

  private static String describe(ApiResponse response) {
    try {
      var problem = MAPPER.readValue(response.body(), AdminMessages.Problem.class);
      String present =
          problem.present() == null
              ? ""
              : System.lineSeparator() + "in force: " + Printer.format(problem.present());
      String detail = problem.detail() == null ? "" : ": " + problem.detail();
      return problem.title() + detail + " (" + problem.outcome() + ")" + present;
    } catch (IOException e) {
      return "status " + response.status();
    }
  }

  private ApiResponse firstResponse(ApiRequest request) throws ControlException {
    ControlException lastFailure = null;
    for (String host : hosts) {
      try {
        return send(host, request);
      } catch (ControlException e) {
        lastFailure = e;
      }
    }
    throw lastFailure == null
        ? new ControlException(ExitCode.USAGE, "no host was given")
        : lastFailure;
  }

  private ApiResponse send(String host, ApiRequest apiRequest) throws ControlException {
    HttpUrl base = HttpUrl.parse("http://" + host);
    if (base == null) {
      throw new ControlException(ExitCode.USAGE, "not a valid host address: " + host);
    }
    HttpUrl.Builder url = base.newBuilder().addPathSegments(apiRequest.segments());
    for (int index = 0; index < apiRequest.query().size(); index += 2) {
      url.addQueryParameter(apiRequest.query().get(index), apiRequest.query().get(index + 1));
    }
    Request request =
        apiRequest.request().url(url.build()).header("Authorization", "Bearer " + key).build();
    try (Response response = client.newCall(request).execute()) {
      return new ApiResponse(response.code(), response.body().string());
    } catch (IOException e) {
      throw new ControlException(
          ExitCode.UNREACHABLE, host + " does not answer: " + e.getMessage(), e);
    }
  }

  private static byte[] write(Object value) throws ControlException {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (IOException e) {
      throw new ControlException(ExitCode.USAGE, "the edit cannot be serialized as JSON", e);
    }
  }

  @Override
  public void close() {
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }
}
