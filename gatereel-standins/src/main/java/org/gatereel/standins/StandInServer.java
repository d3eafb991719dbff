package org.gatereel.standins;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.ServerOptions;
import io.jooby.netty.NettyServer;
import java.util.function.Consumer;

/** The HTTP server of a stand-in. */
public final class StandInServer implements AutoCloseable {
  /** The JSON mapper of all stand-ins. */
  public static final ObjectMapper MAPPER =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  private static final int MOST_BODY_BYTES = 64 * 1024 * 1024;

  private final NettyServer server = new NettyServer();

  /** Starts to serve on the loopback address. */
  public StandInServer(int port, Consumer<Jooby> routes) {
    ServerOptions options = new ServerOptions();
    options.setHost("127.0.0.1");
    options.setPort(port);
    options.setIoThreads(2);
    options.setWorkerThreads(16);
    options.setMaxRequestSize(MOST_BODY_BYTES);
    options.setDefaultHeaders(false);
    server.setOptions(options);
    Jooby application = Jooby.createApp(ExecutionMode.EVENT_LOOP, Jooby::new);
    routes.accept(application);
    server.start(application);
  }

  /** Responds with JSON. */
  public static Context json(Context context, int status, Object value) {
    try {
      context.setResponseCode(status);
      context.setResponseType(MediaType.json);
      return context.send(MAPPER.writeValueAsBytes(value));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("records can always be written", e);
    }
  }

  /** Reads a JSON body. */
  public static <T> T body(Context context, Class<T> type) throws JsonProcessingException {
    return MAPPER.readValue(context.body().value("{}"), type);
  }

  @Override
  public void close() {
    server.stop();
  }
}
