package org.gatereel.adapters.targets;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.gatereel.adapters.SentMarker;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.model.Address;

/**
 * An HTTP client of plain services.
 *
 * <p>A response whose end is marked only by the close of the connection is accepted as complete if
 * the service can still be reached afterwards. Otherwise it may be truncated, and the call fails.
 */
public final class ServiceClient {
  /** Delays the result of a call that may be truncated by this time at most. */
  private static final long PROBE_TIMEOUT_MILLIS = 1_000;

  private static final MediaType OCTET_STREAM = MediaType.get("application/octet-stream");
  private static final String LOAD_HEADER = "Load";

  private final OkHttpClient client;
  private final TargetListener listener;

  public ServiceClient(OkHttpClient client, TargetListener listener) {
    this.client = client;
    this.listener = listener;
  }

  /** Sends a call once, without retries, and passes its result to the listener. */
  public void send(Action.SendCall send) {
    SentMarker marker = new SentMarker();
    Request request =
        marker
            .tag(new Request.Builder())
            .url(EngineClient.url(send.target().address(), "call"))
            .header("Idempotency-Key", send.executionId())
            .header("Priority", "u=" + send.priority())
            .post(RequestBody.create(send.body(), OCTET_STREAM))
            .build();
    Call call = client.newCall(request);
    call.timeout().timeout(send.timeoutMillis(), TimeUnit.MILLISECONDS);
    call.enqueue(new ResponseHandler(send.ticket(), send.target().address(), marker));
  }

  /** Returns whether a target responds to a request, with any status. */
  private boolean isReachable(Address address) {
    Request request = new Request.Builder().url(EngineClient.url(address, "")).build();
    Call probe = client.newCall(request);
    probe.timeout().timeout(PROBE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    try {
      probe.execute().close();
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  private final class ResponseHandler implements Callback {
    private final long ticket;
    private final Address address;
    private final SentMarker marker;

    private ResponseHandler(long ticket, Address address, SentMarker marker) {
      this.ticket = ticket;
      this.address = address;
      this.marker = marker;
    }

    @Override
    public void onFailure(Call call, IOException failure) {
      if (!marker.isSent()) {
        listener.onCallFailed(ticket, TargetFailure.NOT_CONNECTED);
      } else if (failure instanceof InterruptedIOException) {
        listener.onCallFailed(ticket, TargetFailure.TIMEOUT);
      } else {
        listener.onCallFailed(ticket, TargetFailure.RESET);
      }
    }

    @Override
    public void onResponse(Call call, Response response) {
      try (response) {
        if (TargetRejections.isRejection(response)) {
          listener.onCallFailed(ticket, TargetRejections.readFailure(response));
          return;
        }
        String body = response.body().string();
        if (ResponseFraming.isCloseDelimited(response) && !isReachable(address)) {
          listener.onCallFailed(ticket, TargetFailure.RESET);
          return;
        }
        listener.onCallResponse(ticket, response.code(), body, load(response));
      } catch (IOException e) {
        listener.onCallFailed(ticket, TargetFailure.RESET);
      }
    }

    private int load(Response response) {
      try {
        return Integer.parseInt(response.header(LOAD_HEADER, "0"));
      } catch (NumberFormatException e) {
        return 0;
      }
    }
  }
}
