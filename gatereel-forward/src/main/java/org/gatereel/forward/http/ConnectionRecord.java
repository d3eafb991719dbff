package org.gatereel.forward.http;

import org.gatereel.forward.ControlThread;

/** The times and the last request of a caller's connection. */
final class ConnectionRecord {
  private final long openedAtMillis = ControlThread.nowMillis();
  private long requestAtMillis = openedAtMillis;
  private boolean hasRequest;
  private String lastRequestId = "none";

  /** Records that a request was received completely. */
  void recordRequest() {
    hasRequest = true;
    requestAtMillis = ControlThread.nowMillis();
  }

  void recordId(String requestId) {
    lastRequestId = requestId;
  }

  boolean hasRequest() {
    return hasRequest;
  }

  long openMillis() {
    return ControlThread.nowMillis() - openedAtMillis;
  }

  /** Returns the ages and the last request as {@code key=value} pairs for the log. */
  String describe(int queuedRequests) {
    return "openMillis="
        + openMillis()
        + " sinceRequestMillis="
        + (ControlThread.nowMillis() - requestAtMillis)
        + " queued="
        + queuedRequests
        + " lastRequest="
        + lastRequestId;
  }
}
