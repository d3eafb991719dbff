package org.gatereel.daemon.callers;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.jooby.Context;
import io.jooby.MediaType;
import org.gatereel.core.model.Outcome;
import org.gatereel.core.model.Problem;

/**
 * A problem document according to RFC 9457, extended by the outcome of the request.
 *
 * @param type a URI reference that is the same for every problem of this type
 * @param retryAfterMillis the delay before a retry, 0 if a retry would not help
 */
public record ProblemDocument(
    String type, String title, int status, String detail, Outcome outcome, long retryAfterMillis) {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final MediaType MEDIA_TYPE = MediaType.valueOf("application/problem+json");
  private static final long MILLIS_PER_SECOND = 1_000;

  static ProblemDocument of(Problem problem) {
    return new ProblemDocument(
        problem.type().uri(),
        problem.type().title(),
        problem.type().status(),
        problem.detail(),
        problem.outcome(),
        problem.retryAfterMillis());
  }

  /** Sends a problem as the response, with {@code Retry-After} if a retry may help. */
  static Context send(Context context, Problem problem) {
    context.setResponseCode(problem.type().status());
    context.setResponseType(MEDIA_TYPE);
    if (problem.retryAfterMillis() > 0) {
      long seconds = (problem.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
      context.setResponseHeader("Retry-After", Long.toString(seconds));
    }
    return context.send(json(of(problem)));
  }

  static byte[] json(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("response body cannot be serialized as JSON", e);
    }
  }
}
