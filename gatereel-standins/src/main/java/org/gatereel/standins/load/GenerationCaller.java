package org.gatereel.standins.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.gatereel.standins.StandInServer;

/** Requests generations, reconnects to any entry host after a failure, and checks the tokens. */
public final class GenerationCaller {
  private static final MediaType JSON = MediaType.get("application/json");
  private static final long PAUSE_MILLIS = 20;
  private static final int OK = 200;

  private final OkHttpClient client;
  private final List<String> hosts;
  private final String key;
  private final long patienceMillis;

  /** Receives the tokens of a generation. */
  public interface Watcher {
    void token(int offset, String id, String token);

    void reconnected(String host, String why);
  }

  /** How a generation ended. */
  public record Ending(boolean whole, String problem, int reconnects, StreamCheck check) {}

  private record Body(String service, String prompt, int maximumTokens) {}

  private record Text(String text) {}

  public GenerationCaller(
      OkHttpClient client, List<String> hosts, String key, long patienceMillis) {
    this.client = client;
    this.hosts = hosts;
    this.key = key;
    this.patienceMillis = patienceMillis;
  }

  /** Requests one generation and reads it to its end, starting at one of the hosts. */
  public Ending ask(String service, String prompt, int tokens, int firstHost, Watcher watcher)
      throws IOException, InvalidResponseException {
    StreamCheck check = new StreamCheck(prompt);
    String lastId = "";
    int reconnects = 0;
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(patienceMillis);
    for (int hostIndex = firstHost; ; hostIndex++) {
      String host = hosts.get(hostIndex % hosts.size());
      String body = StandInServer.MAPPER.writeValueAsString(new Body(service, prompt, tokens));
      Request.Builder request =
          new Request.Builder()
              .url(host + "/v1/generations")
              .header("Authorization", "Bearer " + key)
              .post(RequestBody.create(body, JSON));
      if (!lastId.isEmpty()) {
        request.header("Last-Event-ID", lastId);
      }
      String why;
      try (Response response = client.newCall(request.build()).execute()) {
        if (response.code() != OK) {
          why = response.body().string();
          if (response.header("Retry-After") == null) {
            return new Ending(false, why, reconnects, check);
          }
        } else {
          SseReader reader = new SseReader(response.body().source());
          for (SseReader.SseEvent event = reader.next(); event != null; event = reader.next()) {
            if (!event.id().isEmpty()) {
              lastId = event.id();
            }
            if (event.type().equals("token")) {
              String token = StandInServer.MAPPER.readValue(event.data(), Text.class).text();
              check.token(token);
              watcher.token(check.length(), event.id(), token);
            } else if (event.type().equals("end")) {
              return new Ending(check.length() == tokens, "", reconnects, check);
            } else if (event.type().equals("problem")) {
              JsonNode problem = StandInServer.MAPPER.readTree(event.data());
              if (problem.path("retryAfterMillis").asLong() == 0) {
                return new Ending(false, event.data(), reconnects, check);
              }
            }
          }
          why = "stream closed";
        }
      } catch (IOException e) {
        why = String.valueOf(e.getMessage());
      }
      if (System.nanoTime() > deadline) {
        return new Ending(false, "patience ended: " + why, reconnects, check);
      }
      reconnects++;
      watcher.reconnected(host, why);
      pause();
    }
  }

  private static void pause() throws IOException {
    try {
      TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }
}
