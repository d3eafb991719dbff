package org.gatereel.core.forward;

import com.google.common.base.Ascii;
import java.util.OptionalLong;
import org.gatereel.core.choice.TargetChoice;
import org.gatereel.core.configuration.Route;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.TargetId;

/** Logs the events of one request, each with its inputs and the request's progress. */
final class ExchangeLog {
  /** Callers choose the names of the parts, which must not fill a log. */
  private static final int MAX_PARTS_LENGTH = 120;

  private final Forwarder forwarder;
  private final Exchange exchange;
  private final ForwardRequest request;

  ExchangeLog(Forwarder forwarder, Exchange exchange, ForwardRequest request) {
    this.forwarder = forwarder;
    this.exchange = exchange;
    this.request = request;
  }

  /** Logs an event; {@code inputs} are {@code key=value} pairs separated by spaces, or empty. */
  void log(EventCode code, String inputs) {
    String separator = inputs.isEmpty() ? "" : " ";
    forwarder.context().logEvent(code, request.id(), inputs + separator + exchange.progress());
  }

  static String progress(int attempts, OptionalLong lastEvent, long millis, long leftMillis) {
    return "tries="
        + attempts
        + " lastEvent="
        + lastEvent.orElse(-1)
        + " millis="
        + millis
        + " leftMillis="
        + leftMillis;
  }

  void logForwarded(Route route, Dispatch dispatch, TargetChoice choice, int attempts) {
    ConfigurationHolder configuration = forwarder.configuration();
    String inputs =
        "route="
            + route.name()
            + " try="
            + attempts
            + " target="
            + dispatch.target().id()
            + " costs="
            + choice.reasons()
            + " loadsAgeMillis="
            + forwarder.loads().oldestReportAgeMillis()
            + " copyAt="
            + dispatch.copyTo().map(Address::toString).orElse("-")
            + " fromCopy="
            + dispatch.continueFrom().isPresent()
            + " configuration="
            + configuration.version()
            + " ageMillis="
            + configuration.ageMillis();
    log(EventCode.REQUEST_FORWARDED, inputs);
  }

  void logPromptLocated(PromptLocator.LookupResult found) {
    String inputs =
        "target="
            + found.target().map(TargetId::toString).orElse("-")
            + " answered="
            + found.responses()
            + " asked="
            + found.queries();
    log(EventCode.PROMPT_LOCATED, inputs);
  }

  /** Logs why a stream was interrupted: its executions, the budget, and its last copy. */
  void logInterrupted(String reason, RetryController retries, CopyTracker copies) {
    String inputs =
        "reason="
            + reason
            + " executions="
            + retries.attemptCounter().executions()
            + " budgetSpent="
            + retries.isBudgetSpent()
            + " lastCopyAt="
            + copies.lastHolder().map(Address::toString).orElse("-");
    log(EventCode.GENERATION_INTERRUPTED, inputs);
  }

  void logResponseEnded(Attempt attempt, ResponseEndVerdict verdict) {
    String inputs =
        "target="
            + attempt.target().description().id()
            + " end="
            + attempt.end()
            + " events="
            + attempt.forwardedEventCount()
            + " lastOfRun="
            + attempt.lastReceivedEventId().orElse(-1)
            + " verdict="
            + verdict
            + " probeMillis="
            + (forwarder.context().now() - attempt.endedAt());
    log(EventCode.ANSWER_ENDED, inputs);
  }

  void logAttemptFailed(Attempt attempt, TargetFailure failure, boolean mayHaveExecuted) {
    String inputs =
        "target="
            + attempt.target().description().id()
            + " failure="
            + failure
            + " mayHaveRun="
            + mayHaveExecuted;
    log(EventCode.ATTEMPT_FAILED, mayHaveExecuted ? inputs + executionDetails(attempt) : inputs);
  }

  /**
   * Returns the execution's progress, and the request's fingerprint, which links the retries of one
   * request.
   */
  private String executionDetails(Attempt attempt) {
    long now = forwarder.context().now();
    String sinceHeadMillis =
        attempt.headAt().isPresent() ? Long.toString(now - attempt.headAt().getAsLong()) : "-";
    return " request="
        + exchange.poison().fingerprint()
        + " parts="
        + Ascii.truncate(String.join(",", request.sharedPromptParts()), MAX_PARTS_LENGTH, "...")
        + " sinceSentMillis="
        + (now - attempt.startedAt())
        + " sinceHeadMillis="
        + sinceHeadMillis
        + " events="
        + attempt.forwardedEventCount();
  }
}
