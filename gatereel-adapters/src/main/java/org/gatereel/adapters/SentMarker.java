package org.gatereel.adapters;

import okhttp3.Call;
import okhttp3.EventListener;
import okhttp3.Request;

/**
 * Records whether this host began to send a request.
 *
 * <p>A request that was not sent was not executed. The exception alone does not show whether it was
 * sent.
 */
public final class SentMarker extends EventListener {
  private volatile boolean sent;

  /** Uses the marker with which the request of a call is tagged. */
  static final EventListener.Factory FROM_TAG =
      call -> {
        SentMarker marker = call.request().tag(SentMarker.class);
        return marker == null ? EventListener.NONE : marker;
      };

  public Request.Builder tag(Request.Builder builder) {
    return builder.tag(SentMarker.class, this);
  }

  @Override
  public void requestHeadersStart(Call call) {
    sent = true;
  }

  public boolean isSent() {
    return sent;
  }
}
