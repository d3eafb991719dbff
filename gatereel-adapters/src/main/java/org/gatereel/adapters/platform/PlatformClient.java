package org.gatereel.adapters.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.gatereel.adapters.Json;
import org.gatereel.adapters.SentMarker;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.HostList;
import org.gatereel.core.platform.ReadResult;
import org.gatereel.core.platform.TableWrite;
import org.gatereel.core.platform.TransactionResult;

/** An HTTP client of the platform's table and host list. */
public final class PlatformClient {
  private static final int CONFLICT = 409;

  private final OkHttpClient client;
  private final HttpUrl base;

  public PlatformClient(OkHttpClient client, Address address) {
    this.client = client;
    this.base =
        new HttpUrl.Builder().scheme("http").host(address.ip()).port(address.port()).build();
  }

  /** Submits a transaction; calls {@code done} once, on another thread. */
  public void transact(List<TableWrite> writes, Consumer<TransactionResult> done) {
    List<PlatformMessages.Write> rows =
        writes.stream()
            .map(
                write ->
                    new PlatformMessages.Write(
                        write.key(), write.expected().orElse(null), write.value()))
            .toList();
    SentMarker marker = new SentMarker();
    Request request =
        marker
            .tag(new Request.Builder())
            .url(url("table/transaction"))
            .post(body(new PlatformMessages.Transaction(rows)))
            .build();
    client
        .newCall(request)
        .enqueue(
            new Callback() {
              @Override
              public void onFailure(Call call, IOException failure) {
                done.accept(
                    marker.isSent()
                        ? new TransactionResult.Unknown()
                        : new TransactionResult.NotApplied());
              }

              @Override
              public void onResponse(Call call, Response response) {
                done.accept(transactionResult(response));
              }
            });
  }

  private static TransactionResult transactionResult(Response response) {
    try (response) {
      if (response.isSuccessful()) {
        return new TransactionResult.Committed();
      }
      if (response.code() != CONFLICT) {
        return new TransactionResult.NotApplied();
      }
      var conflict =
          Json.MAPPER.readValue(response.body().string(), PlatformMessages.Conflict.class);
      return new TransactionResult.Conflict(conflict.keys(), conflict.present());
    } catch (IOException e) {
      return new TransactionResult.Unknown();
    }
  }

  /** Reads rows by key; calls {@code done} once, on another thread. */
  public void read(List<String> keys, Consumer<ReadResult> done) {
    Request request =
        new Request.Builder()
            .url(url("table/read"))
            .post(body(new PlatformMessages.Read(keys)))
            .build();
    requestRows(request, done);
  }

  /** Reads the rows with a prefix after a key; calls {@code done} once, on another thread. */
  public void scan(String prefix, String after, Consumer<ReadResult> done) {
    HttpUrl url =
        url("table/scan")
            .newBuilder()
            .addQueryParameter("prefix", prefix)
            .addQueryParameter("after", after)
            .build();
    requestRows(new Request.Builder().url(url).build(), done);
  }

  private void requestRows(Request request, Consumer<ReadResult> done) {
    client
        .newCall(request)
        .enqueue(
            new Callback() {
              @Override
              public void onFailure(Call call, IOException failure) {
                done.accept(new ReadResult.Failed());
              }

              @Override
              public void onResponse(Call call, Response response) {
                done.accept(readResult(response));
              }
            });
  }

  private static ReadResult readResult(Response response) {
    try (response) {
      if (!response.isSuccessful()) {
        return new ReadResult.Failed();
      }
      var rows = Json.MAPPER.readValue(response.body().string(), PlatformMessages.Rows.class);
      return new ReadResult.Rows(rows.rows());
    } catch (IOException e) {
      return new ReadResult.Failed();
    }
  }

  /** Reads the list of hosts and targets; does not call {@code done} on failure. */
  public void readHostList(Consumer<HostList> done) {
    client
        .newCall(new Request.Builder().url(url("hosts")).build())
        .enqueue(
            new Callback() {
              @Override
              public void onFailure(Call call, IOException failure) {
                // The previous list stays in force until the next poll.
              }

              @Override
              public void onResponse(Call call, Response response) {
                try (response) {
                  if (response.isSuccessful()) {
                    done.accept(Json.MAPPER.readValue(response.body().string(), HostList.class));
                  }
                } catch (IOException e) {
                  // The previous list stays in force until the next poll.
                }
              }
            });
  }

  private HttpUrl url(String segments) {
    return base.newBuilder().addPathSegments(segments).build();
  }

  private static RequestBody body(Object value) {
    try {
      return RequestBody.create(Json.MAPPER.writeValueAsString(value), Json.TYPE);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("platform message cannot be serialized as JSON", e);
    }
  }
}
