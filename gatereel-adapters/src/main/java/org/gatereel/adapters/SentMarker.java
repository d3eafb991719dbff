package org.gatereel.adapters;

import okhttp3.Call;
import okhttp3.EventListener;
import okhttp3.Request;

/**
 * Notes whether any byte of a request left this host.
 *
 * <p>Only with this can a failed request be called "not run": which exception came says too little.
 */
public final class SentMarker extends EventListener {
  private volatile boolean sent;

  /** Makes every call of a client use the marker that its request is tagged with. */
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
