package org.gatereel.adapters.targets;

import java.io.IOException;
import okhttp3.Response;
import org.gatereel.adapters.Json;
import org.gatereel.core.event.TargetFailure;

/** Reads responses by which targets reject requests that they did not start. */
final class TargetRejections {
  private static final int UNAVAILABLE = 503;

  private TargetRejections() {}

  static boolean isRejection(Response response) {
    return response.code() == UNAVAILABLE;
  }

  /** Returns the failure that a rejection reports, {@code ERROR} if its reason is not readable. */
  static TargetFailure readFailure(Response response) {
    try {
      var rejection =
          Json.MAPPER.readValue(response.body().string(), EngineMessages.Rejection.class);
      return switch (String.valueOf(rejection.reason())) {
        case "LEAVING" -> TargetFailure.GOODBYE;
        case "FULL" -> TargetFailure.FULL;
        default -> TargetFailure.ERROR;
      };
    } catch (IOException e) {
      return TargetFailure.ERROR;
    }
  }
}
