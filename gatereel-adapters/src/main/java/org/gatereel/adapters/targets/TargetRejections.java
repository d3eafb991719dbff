package org.gatereel.adapters.targets;

import java.io.IOException;
import okhttp3.Response;
import org.gatereel.adapters.Json;
import org.gatereel.core.event.TargetFailure;

/** Reads the answers of targets that did not start a request. */
final class TargetRejections {
  private static final int UNAVAILABLE = 503;

  private TargetRejections() {}

  static boolean isRejection(Response response) {
    return response.code() == UNAVAILABLE;
  }

  /** Returns the failure that a refusal stands for; an unreadable one proves nothing. */
  static TargetFailure readFailure(Response response) {
    try {
      var refusal = Json.MAPPER.readValue(response.body().string(), EngineMessages.Rejection.class);
      return switch (String.valueOf(refusal.reason())) {
        case "LEAVING" -> TargetFailure.GOODBYE;
        case "FULL" -> TargetFailure.FULL;
        default -> TargetFailure.ERROR;
      };
    } catch (IOException e) {
      return TargetFailure.ERROR;
    }
  }
}
