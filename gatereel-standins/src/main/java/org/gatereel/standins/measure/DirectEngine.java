package org.gatereel.standins.measure;

import java.io.IOException;
import java.util.List;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import org.HdrHistogram.Histogram;
import org.gatereel.standins.StandInServer;

/** Sends generations directly to an engine, as the baseline of the measurements. */
final class DirectEngine {
  private static final MediaType JSON = MediaType.get("application/json");

  private final Bench bench;
  private int number;

  private record Generate(
      String request,
      int attempt,
      String prompt,
      List<String> tokens,
      int maximumTokens,
      int priority) {}

  DirectEngine(Bench bench) {
    this.bench = bench;
  }

  /** Streams a generation and records its first token and its gaps. */
  void ask(
      String engine, String prompt, List<String> tokens, int more, Histogram first, Histogram gaps)
      throws IOException {
    Generate generate =
        new Generate("direct-" + number++, 1, prompt, tokens, tokens.size() + more, 5);
    Request request =
        new Request.Builder()
            .url(bench.engine(engine) + "/generate")
            .post(RequestBody.create(StandInServer.MAPPER.writeValueAsBytes(generate), JSON))
            .build();
    long last = System.nanoTime();
    boolean firstSeen = false;
    try (Response response = bench.client().newCall(request).execute()) {
      BufferedSource source = response.body().source();
      for (String line = source.readUtf8Line(); line != null; line = source.readUtf8Line()) {
        if (line.equals("event: token")) {
          long now = System.nanoTime();
          TimedWatcher.record(firstSeen ? gaps : first, now - last);
          firstSeen = true;
          last = now;
        }
      }
    }
  }
}
