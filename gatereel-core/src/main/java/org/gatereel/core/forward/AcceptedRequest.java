package org.gatereel.core.forward;

/** A request of a caller whose response has not ended. */
public interface AcceptedRequest {
  /** Cancels the request after the caller closed its connection. */
  void onCallerDisconnected();
}
