package org.gatereel.standins.load;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.time.Duration;
import java.util.List;
import okhttp3.OkHttpClient;

/** Requests one generation, prints its tokens and reports whether the response was complete. */
@Parameters(commandDescription = "ask for one generation and check it")
public final class AskCommand {
  @Parameter(
      names = "--host",
      required = true,
      description = "entry host, for example 127.0.0.1:80")
  List<String> hosts;

  @Parameter(names = "--key", required = true, description = "bearer key")
  String key;

  @Parameter(names = "--service", required = true, description = "service")
  String service;

  @Parameter(names = "--prompt", description = "prompt")
  String prompt = "reconcile the ledger of ward seven";

  @Parameter(names = "--tokens", description = "length of the answer")
  int tokens = 100;

  @Parameter(names = "--patience-millis", description = "how long to go on reconnecting")
  long patienceMillis = 30_000;

  @Parameter(names = "--silence-millis", description = "silence after which to reconnect")
  long silenceMillis = 2_000;

  /** Runs the command; returns the exit code. */
  public int run() throws Exception {
    OkHttpClient client =
        new OkHttpClient.Builder()
            .readTimeout(Duration.ofMillis(silenceMillis))
            .retryOnConnectionFailure(false)
            .build();
    GenerationCaller caller =
        new GenerationCaller(
            client, hosts.stream().map(host -> "http://" + host).toList(), key, patienceMillis);
    try {
      GenerationCaller.Ending ending = caller.ask(service, prompt, tokens, 0, new Printer());
      System.out.println(
          (ending.whole() ? "whole" : "not whole " + ending.problem())
              + " tokens="
              + ending.check().length()
              + " engines="
              + ending.check().engines()
              + " reconnects="
              + ending.reconnects());
      return ending.whole() ? 0 : 1;
    } catch (InvalidResponseException e) {
      System.out.println("broken " + e.getMessage());
      return 1;
    } finally {
      client.dispatcher().executorService().shutdown();
      client.connectionPool().evictAll();
    }
  }

  private static final class Printer implements GenerationCaller.Watcher {
    @Override
    public void token(int offset, String id, String token) {
      System.out.println("token " + offset + " " + id + " " + token);
    }

    @Override
    public void reconnected(String host, String why) {
      System.out.println("reconnected after " + host + ": " + why);
    }
  }
}
