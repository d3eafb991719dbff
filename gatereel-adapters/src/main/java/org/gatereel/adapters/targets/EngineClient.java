package org.gatereel.adapters.targets;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.exc.MismatchedInputException;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.sse.EventSource;
import okhttp3.sse.EventSourceListener;
import okhttp3.sse.EventSources;
import org.gatereel.adapters.Json;
import org.gatereel.adapters.SentMarker;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.RequestId;

/**
 * An HTTP client of model engines, which send tokens as server-sent events.
 *
 * <p>An attempt is complete only when the engine's final event with the length of the response is
 * received; a stream that ends in any other way has failed.
 */
public final class EngineClient {
  private static final String END_EVENT = "end";

  /** Rejects final events without a length, which would otherwise be read as 0. */
  private static final ObjectReader END_READER =
      Json.MAPPER
          .readerFor(EngineMessages.End.class)
          .with(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
          .with(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

  private final OkHttpClient client;
  private final TargetListener listener;
  private final Map<Key, Stream> streams = new ConcurrentHashMap<>();

  private record Key(RequestId request, int attempt) {}

  public EngineClient(OkHttpClient client, TargetListener listener) {
    this.client = client;
    this.listener = listener;
  }

  /** Starts an attempt and passes its events to the listener. */
  public void start(Action.StartAttempt start) {
    Key key = new Key(start.spec().request(), start.attempt());
    SentMarker marker = new SentMarker();
    Address address = start.target().address();
    Request request =
        marker
            .tag(new Request.Builder())
            .url(url(address, "generate"))
            .header("Accept", "text/event-stream")
            .post(
                body(
                    new EngineMessages.Generate(
                        start.spec().request().value(),
                        start.attempt(),
                        start.spec().prompt(),
                        start.tokens(),
                        start.spec().maximumTokens(),
                        start.spec().priority())))
            .build();
    Stream stream = new Stream(key, address, marker);
    streams.put(key, stream);
    stream.source = EventSources.createFactory(client).newEventSource(request, stream);
  }

  /**
   * Cancels an attempt: closes its stream and sends a cancellation, since the engine may detect the
   * closed stream late.
   */
  public void cancel(RequestId request, int attempt) {
    Stream stream = streams.remove(new Key(request, attempt));
    if (stream == null) {
      return;
    }
    stream.source.cancel();
    Request cancel =
        new Request.Builder()
            .url(url(stream.address, "cancel"))
            .post(body(new EngineMessages.Cancel(request.value(), attempt)))
            .build();
    client.newCall(cancel).enqueue(IGNORE_RESPONSE);
  }

  private static final Callback IGNORE_RESPONSE =
      new Callback() {
        @Override
        public void onFailure(Call call, IOException failure) {
          // Not retried: the engine is down or will detect the closed stream.
        }

        @Override
        public void onResponse(Call call, Response response) {
          response.close();
        }
      };

  private final class Stream extends EventSourceListener {
    private final Key key;
    private final Address address;
    private final SentMarker marker;
    private volatile EventSource source;

    private Stream(Key key, Address address, SentMarker marker) {
      this.key = key;
      this.address = address;
      this.marker = marker;
    }

    @Override
    public void onEvent(EventSource eventSource, String id, String type, String data) {
      try {
        if (END_EVENT.equals(type)) {
          int length = endLength(data);
          if (streams.remove(key, this)) {
            listener.onFinished(key.request(), key.attempt(), length);
          }
        } else {
          EngineMessages.Token token = Json.MAPPER.readValue(data, EngineMessages.Token.class);
          listener.onToken(
              key.request(), key.attempt(), token.offset(), token.token(), token.load());
        }
      } catch (JsonProcessingException e) {
        fail(TargetFailure.ERROR);
        eventSource.cancel();
      }
    }

    private static int endLength(String data) throws JsonProcessingException {
      EngineMessages.End end = END_READER.readValue(data);
      if (end == null) {
        throw MismatchedInputException.from(
            null, EngineMessages.End.class, "final event has no length");
      }
      return end.length();
    }

    @Override
    public void onClosed(EventSource eventSource) {
      fail(TargetFailure.RESET);
    }

    @Override
    public void onFailure(EventSource eventSource, Throwable failure, Response response) {
      if (response != null && TargetRejections.isRejection(response)) {
        fail(TargetRejections.readFailure(response));
      } else if (response != null && !response.isSuccessful()) {
        fail(TargetFailure.ERROR);
      } else {
        fail(marker.isSent() ? TargetFailure.RESET : TargetFailure.NOT_CONNECTED);
      }
    }

    private void fail(TargetFailure failure) {
      if (streams.remove(key, this)) {
        listener.onFailed(key.request(), key.attempt(), failure);
      }
    }
  }

  static HttpUrl url(Address address, String path) {
    return new HttpUrl.Builder()
        .scheme("http")
        .host(address.ip())
        .port(address.port())
        .addPathSegments(path)
        .build();
  }

  private static RequestBody body(Object value) {
    try {
      return RequestBody.create(Json.MAPPER.writeValueAsString(value), Json.TYPE);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("engine message cannot be serialized as JSON", e);
    }
  }
}
