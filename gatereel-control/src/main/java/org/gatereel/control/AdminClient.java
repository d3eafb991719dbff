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

/** Speaks with the administration API of entry hosts. */
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

  /** Returns the table in force on the first host that answers. */
  public AdminMessages.Table table() throws ControlException {
    return read(get("admin/table"), new TypeReference<>() {});
  }

  /** Returns a row, or a row of revision 0 without cells if there is none. */
  public Row row(RowKey row) throws ControlException {
    ApiResponse answer = firstResponse(get(path(row)));
    if (answer.status() == NOT_FOUND) {
      return new Row(row, 0, false, new java.util.TreeMap<>());
    }
    return read(answer, new TypeReference<>() {});
  }

  /**
   * Has a row edited.
   *
   * <p>The same edit id is sent to the next host if one does not answer; it takes effect once.
   *
   * @throws ControlException if the edit is refused; a lost race shows the row that won
   */
  public TableEdit edit(RowKey row, boolean delete, AdminMessages.Change change)
      throws ControlException {
    byte[] json = write(change);
    Request.Builder request = new Request.Builder();
    RequestBody body = RequestBody.create(json, JSON);
    return read(
        new ApiRequest(
            path(row).segments(), List.of(), request.method(delete ? "DELETE" : "PUT", body)),
        new TypeReference<>() {});
  }

  public AdminMessages.History history(long after) throws ControlException {
    return read(
        new ApiRequest(
            "admin/history", List.of("after", Long.toString(after)), new Request.Builder()),
        new TypeReference<>() {});
  }

  /** Returns the state of the first host that answers. */
  public HostStatus status() throws ControlException {
    return read(get("admin/status"), new TypeReference<>() {});
  }

  /** Returns the state of one host. */
  public HostStatus statusOf(String host) throws ControlException {
    return read(send(host, get("admin/status")), new TypeReference<>() {});
  }

  /** Returns the time line of one host. */
  public List<AdminMessages.TimelineEntry> timelineOf(String host, long since, String subject)
      throws ControlException {
    List<String> query = List.of("since", Long.toString(since), "subject", subject);
    return read(
        send(host, new ApiRequest("admin/timeline", query, new Request.Builder())),
        new TypeReference<>() {});
  }

  /** Starts a planned stop of one host. */
  public void drain(String host) throws ControlException {
    RequestBody body = RequestBody.create(new byte[0], JSON);
    ApiRequest path = new ApiRequest("admin/drain", List.of(), new Request.Builder().post(body));
    checkSuccess(send(host, path));
  }

  /** Returns the addresses of all hosts that the first answering host knows. */
  public Set<String> allHosts() throws ControlException {
    Set<String> all = new LinkedHashSet<>(hosts);
    status().peers().forEach(peer -> all.add(peer.description().httpAddress().toString()));
    return all;
  }

  /** What to ask; the query has names and values in turn. */
  private record ApiRequest(String segments, List<String> query, Request.Builder request) {}

  private record ApiResponse(int status, String body) {}

  private static ApiRequest get(String segments) {
    return new ApiRequest(segments, List.of(), new Request.Builder());
  }

  private static ApiRequest get(ApiRequest path) {
    return path;
  }

  private static ApiRequest path(RowKey row) {
    return get("admin/table/" + row.kind().word() + "/" + row.name());
  }

  private <T> T read(ApiRequest path, TypeReference<T> type) throws ControlException {
    return read(firstResponse(path), type);
  }

  private static <T> T read(ApiResponse answer, TypeReference<T> type) throws ControlException {
    checkSuccess(answer);
    try {
      return MAPPER.readValue(answer.body(), type);
    } catch (IOException e) {
      throw new ControlException(ExitCode.REFUSED, "the host's answer cannot be read", e);
    }
  }

  private static void checkSuccess(ApiResponse answer) throws ControlException {
    if (answer.status() >= 200 && answer.status() < 300) {
      return;
    }
    throw new ControlException(ExitCode.REFUSED, describe(answer));
  }

  private static String describe(ApiResponse answer) {
    try {
      var problem = MAPPER.readValue(answer.body(), AdminMessages.Problem.class);
      String present =
          problem.present() == null
              ? ""
              : System.lineSeparator() + "in force: " + Printer.format(problem.present());
      String detail = problem.detail() == null ? "" : ": " + problem.detail();
      return problem.title() + detail + " (" + problem.outcome() + ")" + present;
    } catch (IOException e) {
      return "status " + answer.status();
    }
  }

  private ApiResponse firstResponse(ApiRequest path) throws ControlException {
    ControlException last = null;
    for (String host : hosts) {
      try {
        return send(host, path);
      } catch (ControlException e) {
        last = e;
      }
    }
    throw last == null ? new ControlException(ExitCode.USAGE, "no host was named") : last;
  }

  private ApiResponse send(String host, ApiRequest path) throws ControlException {
    HttpUrl base = HttpUrl.parse("http://" + host);
    if (base == null) {
      throw new ControlException(ExitCode.USAGE, "not an address: " + host);
    }
    HttpUrl.Builder url = base.newBuilder().addPathSegments(path.segments());
    for (int index = 0; index < path.query().size(); index += 2) {
      url.addQueryParameter(path.query().get(index), path.query().get(index + 1));
    }
    Request request =
        path.request().url(url.build()).header("Authorization", "Bearer " + key).build();
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
      throw new ControlException(ExitCode.USAGE, "cannot be written as JSON", e);
    }
  }

  @Override
  public void close() {
    client.dispatcher().executorService().shutdown();
    client.connectionPool().evictAll();
  }
}
