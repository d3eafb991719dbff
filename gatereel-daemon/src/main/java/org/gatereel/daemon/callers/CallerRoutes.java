package org.gatereel.daemon.callers;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.jooby.Context;
import io.jooby.Jooby;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.gatereel.core.event.Event;
import org.gatereel.core.generation.EventId;
import org.gatereel.core.generation.MalformedEventIdException;
import org.gatereel.core.model.Problem;
import org.gatereel.core.model.ProblemType;
import org.gatereel.core.model.ServiceName;

/** The routes for callers: generations and plain calls. */
final class CallerRoutes {
  private static final List<String> FORM_MEDIA_TYPES =
      List.of("application/x-www-form-urlencoded", "multipart/form-data");
  private static final String LAST_EVENT_ID = "Last-Event-ID";
  private static final Pattern IDEMPOTENCY_KEY = Pattern.compile("[!-}]{1,128}");
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
          .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
          .build();

  private final CallerExchanges exchanges;

  private record GenerationBody(String service, String prompt, int maximumTokens) {}

  CallerRoutes(CallerExchanges exchanges) {
    this.exchanges = exchanges;
  }

  void route(Jooby application) {
    application.post("/v1/generations", this::generate);
    application.get("/v1/generations", this::resume);
    application.post("/v1/calls/{service}", this::call);
  }

  private Object generate(Context context) throws Exception {
    if (context.header(LAST_EVENT_ID).isPresent()) {
      return resume(context);
    }
    if (isForm(context)) {
      return rejectForm(context);
    }
    GenerationBody body;
    try {
      body = MAPPER.readValue(context.body().value(""), GenerationBody.class);
    } catch (JsonProcessingException e) {
      return rejectMalformed(context, e.getOriginalMessage());
    }
    boolean complete = body != null && body.service() != null && body.prompt() != null;
    if (!complete || body.maximumTokens() < 1) {
      return rejectMalformed(context, "wanted: service, prompt, maximumTokens of 1 or more");
    }
    String credential = BearerKeys.credential(context);
    return exchanges.accept(
        context,
        caller ->
            new Event.GenerationRequested(
                caller,
                credential,
                new ServiceName(body.service()),
                body.prompt(),
                body.maximumTokens()));
  }

  private static Context rejectMalformed(Context context, String detail) {
    return ProblemDocument.send(context, Problem.notRun(ProblemType.MALFORMED_BODY, detail));
  }

  /** Forms are rejected because Jooby parses them and their raw body is not available. */
  private static boolean isForm(Context context) {
    return FORM_MEDIA_TYPES.stream().anyMatch(context.header("Content-Type").value("")::startsWith);
  }

  private static Context rejectForm(Context context) {
    return rejectMalformed(context, "send the body as application/json, not as a form");
  }

  private Object resume(Context context) throws Exception {
    EventId after;
    try {
      after = EventId.parse(context.header(LAST_EVENT_ID).value(""));
    } catch (MalformedEventIdException e) {
      return ProblemDocument.send(
          context, Problem.notRun(ProblemType.MALFORMED_EVENT_ID, e.getMessage()));
    }
    String credential = BearerKeys.credential(context);
    return exchanges.accept(
        context, caller -> new Event.ResumeRequested(caller, credential, after));
  }

  private Object call(Context context) throws Exception {
    if (isForm(context)) {
      return rejectForm(context);
    }
    String key = context.header("Idempotency-Key").value("");
    if (!key.isEmpty() && !IDEMPOTENCY_KEY.matcher(key).matches()) {
      String detail = "an Idempotency-Key has 1 to 128 printable ASCII characters, no blanks";
      return ProblemDocument.send(
          context, Problem.notRun(ProblemType.MISSING_IDEMPOTENCY_KEY, detail));
    }
    String credential = BearerKeys.credential(context);
    String body = context.body().value("");
    ServiceName service = new ServiceName(context.path("service").value());
    Optional<String> present = key.isEmpty() ? Optional.empty() : Optional.of(key);
    return exchanges.accept(
        context, caller -> new Event.CallRequested(caller, credential, service, present, body));
  }
}
