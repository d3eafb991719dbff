package org.gatereel.adapters.targets;

import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.model.RequestId;

/** Receives the events and responses of targets on the threads of the HTTP clients. */
public interface TargetListener {
  void onToken(RequestId request, int attempt, int offset, String token, int load);

  void onFinished(RequestId request, int attempt, int length);

  void onFailed(RequestId request, int attempt, TargetFailure failure);

  void onCallResponse(long ticket, int status, String body, int load);

  void onCallFailed(long ticket, TargetFailure failure);
}
