package org.gatereel.adapters;

import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;

/** The HTTP clients of one process; they share their threads. */
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

  /** Returns the client for streams; silence is judged elsewhere, so reads have no limit. */
  public OkHttpClient streaming() {
    return streaming;
  }

  /**
   * Returns the client for calls that may not be repeated.
   *
   * <p>Each call has a new connection: on one that was kept, the target may have closed it just
   * now, and then nobody could say whether the call arrived.
   */
  public OkHttpClient unpooled() {
    return unpooled;
  }

  /** Returns the client for the platform. */
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
