package org.gatereel.adapters;

import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;

/** The HTTP clients of a process. They share one thread pool. */
public final class HttpClients implements AutoCloseable {
  private static final int MAX_REQUESTS = 10_000;
  private static final int MAX_IDLE_CONNECTIONS = 64;
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(800);
  private static final Duration PLATFORM_CALL_TIMEOUT = Duration.ofSeconds(1);

  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "http-client");
            thread.setDaemon(true);
            return thread;
          });
  private final OkHttpClient streaming;
  private final OkHttpClient unpooled;
  private final OkHttpClient platform;

  public HttpClients() {
    Dispatcher dispatcher = new Dispatcher(threads);
    dispatcher.setMaxRequests(MAX_REQUESTS);
    dispatcher.setMaxRequestsPerHost(MAX_REQUESTS);
    streaming =
        new OkHttpClient.Builder()
            .dispatcher(dispatcher)
            .connectTimeout(CONNECT_TIMEOUT)
            .readTimeout(Duration.ZERO)
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .eventListenerFactory(SentMarker.FROM_TAG)
            .addNetworkInterceptor(new HeadValidator())
            .build();
    unpooled =
        streaming.newBuilder().connectionPool(new ConnectionPool(0, 1, TimeUnit.SECONDS)).build();
    platform =
        streaming
            .newBuilder()
            .connectionPool(new ConnectionPool(MAX_IDLE_CONNECTIONS, 1, TimeUnit.MINUTES))
            .callTimeout(PLATFORM_CALL_TIMEOUT)
            .build();
  }

  /** Returns the client for streams; it has no read timeout. */
  public OkHttpClient streaming() {
    return streaming;
  }

  /**
   * Returns the client for calls that must not be sent twice.
   *
   * <p>Each call uses a new connection: if the target closes a reused connection while a call is
   * sent, it is unknown whether the target received the call.
   */
  public OkHttpClient unpooled() {
    return unpooled;
  }

  /** Returns the client for the platform; it limits the time of each call. */
  public OkHttpClient platform() {
    return platform;
  }

  @Override
  public void close() {
    streaming.dispatcher().cancelAll();
    streaming.connectionPool().evictAll();
    platform.connectionPool().evictAll();
    threads.shutdownNow();
  }
}
