package org.gatereel.adapters.targets;

import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.model.RequestId;

/** Who is told of what targets send; called on the clients' threads. */
public interface TargetListener {
  void token(RequestId request, int attempt, int offset, String token, int load);

  void finished(RequestId request, int attempt, int length);

  void failed(RequestId request, int attempt, TargetFailure failure);

  void answered(long ticket, int status, String body, int load);

  void callFailed(long ticket, TargetFailure failure);
}
