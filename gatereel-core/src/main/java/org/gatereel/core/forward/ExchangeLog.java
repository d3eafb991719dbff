package org.gatereel.core.forward;

import java.util.OptionalLong;
import org.gatereel.core.choice.TargetChoice;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.TargetId;

/** The log lines of one request, each with what decided and how far the request had come. */
final class ExchangeLog {
  private final Forwarder forwarder;
  private final Exchange exchange;
  private final ForwardRequest request;

  ExchangeLog(Forwarder forwarder, Exchange exchange, ForwardRequest request) {
    this.forwarder = forwarder;
    this.exchange = exchange;
    this.request = request;
  }

  /** Logs a decision; {@code inputs} are pairs of the form name=value, or empty. */
  void note(EventCode code, String inputs) {
    String separator = inputs.isEmpty() ? "" : " ";
    forwarder.context().logEvent(code, request.id(), inputs + separator + exchange.progress());
  }

  static String progress(int tries, OptionalLong lastEvent, long millis, long leftMillis) {
    return "tries="
        + tries
        + " lastEvent="
        + lastEvent.orElse(-1)
        + " millis="
        + millis
        + " leftMillis="
        + leftMillis;
  }

  void forwarded(Route route, Dispatch dispatch, TargetChoice choice, int tries) {
    ConfigurationKeeper configuration = forwarder.configuration();
    String inputs =
        "route="
            + route.name()
            + " try="
            + tries
            + " target="
            + dispatch.target().id()
            + " costs="
            + choice.reasons()
            + " loadsAgeMillis="
            + forwarder.loads().ageMillis()
            + " copyAt="
            + dispatch.copyTo().map(Address::toString).orElse("-")
            + " fromCopy="
            + dispatch.continueFrom().isPresent()
            + " configuration="
            + configuration.version()
            + " ageMillis="
            + configuration.ageMillis();
    note(EventCode.REQUEST_FORWARDED, inputs);
  }

  void located(PromptLocator.Located found) {
    String inputs =
        "target="
            + found.target().map(TargetId::toString).orElse("-")
            + " answered="
            + found.answered()
            + " asked="
            + found.asked();
    note(EventCode.PROMPT_LOCATED, inputs);
  }

  void ended(Attempt attempt, EndVerdict verdict) {
    String inputs =
        "target="
            + attempt.target().description().id()
            + " end="
            + attempt.end()
            + " events="
            + attempt.eventCount()
            + " lastOfRun="
            + attempt.lastOfRun().orElse(-1)
            + " verdict="
            + verdict
            + " probeMillis="
            + (forwarder.context().now() - attempt.endedAt());
    note(EventCode.ANSWER_ENDED, inputs);
  }

  void failed(Attempt attempt, TargetFailure failure, boolean mayHaveRun) {
    String inputs =
        "target="
            + attempt.target().description().id()
            + " failure="
            + failure
            + " mayHaveRun="
            + mayHaveRun;
    note(EventCode.ATTEMPT_FAILED, mayHaveRun ? inputs + course(attempt) : inputs);
  }

  /** Tells how far a run had come, and of what content it was, so that its repeats are found. */
  private String course(Attempt attempt) {
    long now = forwarder.context().now();
    String sinceHead =
        attempt.headAt().isPresent() ? Long.toString(now - attempt.headAt().getAsLong()) : "-";
    return " request="
        + exchange.poison().fingerprint()
        + " sinceSentMillis="
        + (now - attempt.startedAt())
        + " sinceHeadMillis="
        + sinceHead
        + " events="
        + attempt.eventCount();
  }
}
