package org.gatereel.forward.peer;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.google.common.base.Enums;
import com.google.common.base.Strings;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.gatereel.core.load.DemandKey;
import org.gatereel.core.load.LoadReport;
import org.gatereel.core.load.LoadScope;
import org.gatereel.core.load.TargetLoad;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.poison.Fingerprint;
import org.gatereel.core.poison.PoisonFact;
import org.gatereel.core.rollout.EvidenceKey;
import org.gatereel.core.rollout.ResponseTally;
import org.gatereel.core.rollout.Signal;
import org.gatereel.core.statement.FactKind;
import org.gatereel.core.statement.TargetFact;

/**
 * Reports of load as JSON.
 *
 * <p>Steady clocks of two hosts have nothing in common, so a failure travels as its age.
 */
final class LoadMessages {
  static final String PATH = "/loads";

  /** The answer of a receiver that lacks what a report builds on. */
  static final int WHOLE_NEEDED_STATUS = 409;

  /** The age of a failure that nobody saw. */
  private static final long NO_FAILURE = -1;

  /** What a host of a later version says beside is passed over. */
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build();

  private LoadMessages() {}

  /** A report on the wire. */
  @JsonInclude(JsonInclude.Include.NON_ABSENT)
  private record Message(
      String sender,
      String ip,
      int port,
      LoadScope scope,
      long session,
      long sequence,
      OptionalLong builtOn,
      List<Entry> loads,
      List<Demand> demand,
      @JsonInclude(JsonInclude.Include.NON_EMPTY) List<Evidence> evidence,
      @JsonInclude(JsonInclude.Include.NON_EMPTY) List<Poison> poison,
      @JsonInclude(JsonInclude.Include.NON_EMPTY) List<Fact> facts) {
    Message {
      evidence = evidence == null ? List.of() : evidence;
      poison = poison == null ? List.of() : poison;
      facts = facts == null ? List.of() : facts;
    }

    boolean isComplete() {
      return sender != null
          && ip != null
          && scope != null
          && builtOn != null
          && loads != null
          && demand != null
          && demand.stream().allMatch(entry -> entry != null && entry.service() != null)
          && evidence.stream().allMatch(entry -> entry != null && entry.isComplete())
          && facts.stream().allMatch(Objects::nonNull)
          && poison.stream().allMatch(entry -> entry != null && entry.request() != null)
          && loads.stream().allMatch(entry -> entry != null && entry.target() != null);
    }
  }

  /** One target of a report, as an array of its values. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  private record Entry(
      String target, int open, int reading, int copies, int errors, long failedAgoMillis) {}

  /** What is asked for under one key, as an array of its values; the account may be null. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  private record Demand(String service, int rank, String account, double perSecond) {
    static Demand of(DemandKey key, double perSecond) {
      String account = key.account().map(AccountId::value).orElse(null);
      return new Demand(key.service().value(), key.priority(), account, perSecond);
    }

    DemandKey key() {
      return new DemandKey(
          new ServiceName(service), rank, Optional.ofNullable(account).map(AccountId::new));
    }
  }

  /** What was counted under one key, as an array of its values. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  private record Evidence(
      String service,
      long order,
      String route,
      Signal signal,
      boolean fresh,
      long answers,
      long bad,
      long timed,
      double logMillis) {
    static Evidence of(EvidenceKey key, ResponseTally tally) {
      return new Evidence(
          key.service().value(),
          key.orderRevision(),
          key.route(),
          key.signal(),
          key.newVersion(),
          tally.responses(),
          tally.bad(),
          tally.timed(),
          tally.logMillis());
    }

    boolean isComplete() {
      return service != null && route != null && signal != null;
    }

    EvidenceKey key() {
      return new EvidenceKey(new ServiceName(service), order, route, signal, fresh);
    }

    ResponseTally tally() {
      return new ResponseTally(answers, bad, timed, logMillis);
    }
  }

  /**
   * What was seen of a request under which targets end, as an array of its values; the target is
   * null where the request was seen to run well.
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  private record Poison(String request, String target, long ranMillis, long agoMillis) {
    static Poison of(PoisonFact fact, long now) {
      return new Poison(
          fact.request().value(),
          fact.ended().map(TargetNames::write).orElse(null),
          fact.at() - fact.sentAt(),
          Math.max(0, now - fact.at()));
    }

    PoisonFact fact(long now) {
      long at = now - Math.max(0, agoMillis);
      return new PoisonFact(
          new Fingerprint(request),
          Optional.ofNullable(target).map(TargetNames::read),
          at - Math.max(0, ranMillis),
          at);
    }
  }

  /**
   * What a target said, as an array of its values; the number is null where the kind has none.
   *
   * <p>The kind is a text, so that a report with kinds of a later version can be read.
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  private record Fact(String kind, String target, Double value, long agoMillis) {
    static Fact of(TargetFact fact, long now) {
      return new Fact(
          fact.kind().name(),
          TargetNames.write(fact.target()),
          fact.value().isPresent() ? fact.value().getAsDouble() : null,
          Math.max(0, now - fact.since()));
    }

    /** Returns the fact; empty if this version does not know its kind, or its value is none. */
    Optional<TargetFact> fact(long now) {
      OptionalDouble number = value == null ? OptionalDouble.empty() : OptionalDouble.of(value);
      return Enums.getIfPresent(FactKind.class, Strings.nullToEmpty(kind))
          .toJavaUtil()
          .filter(known -> target != null)
          .flatMap(
              known -> known.make(TargetNames.read(target), number, now - Math.max(0, agoMillis)));
    }
  }

  static byte[] write(LoadReport report, long now) {
    List<Entry> entries = new ArrayList<>();
    report.loads().forEach((target, load) -> entries.add(entry(target, load, now)));
    List<Demand> demand = new ArrayList<>();
    report.demand().forEach((key, perSecond) -> demand.add(Demand.of(key, perSecond)));
    List<Evidence> evidence = new ArrayList<>();
    report.evidence().forEach((key, tally) -> evidence.add(Evidence.of(key, tally)));
    Message message =
        new Message(
            report.sender().value(),
            report.replyTo().ip(),
            report.replyTo().port(),
            report.scope(),
            report.session(),
            report.sequence(),
            report.baseSequence(),
            entries,
            demand,
            evidence,
            report.poison().stream().map(fact -> Poison.of(fact, now)).toList(),
            report.targetFacts().stream().map(fact -> Fact.of(fact, now)).toList());
    try {
      return MAPPER.writeValueAsBytes(message);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a record of texts and numbers is JSON", e);
    }
  }

  private static Entry entry(TargetId target, TargetLoad load, long now) {
    boolean failed = load.failedAt() != TargetLoad.NEVER;
    return new Entry(
        TargetNames.write(target),
        load.open(),
        load.reading(),
        load.copies(),
        load.errors(),
        failed ? Math.max(0, now - load.failedAt()) : NO_FAILURE);
  }

  /** Reads a report that came at {@code now}; empty if it is none. */
  static Optional<LoadReport> read(byte[] body, long now) {
    try {
      return Optional.ofNullable(MAPPER.readValue(body, Message.class))
          .filter(Message::isComplete)
          .map(message -> report(message, now));
    } catch (IOException e) {
      // The sender is told that this is malformed, and logs that it was not taken.
      return Optional.empty();
    }
  }

  private static LoadReport report(Message message, long now) {
    Map<TargetId, TargetLoad> loads = new HashMap<>();
    message.loads().forEach(entry -> loads.put(TargetNames.read(entry.target()), load(entry, now)));
    Map<DemandKey, Double> demand = new HashMap<>();
    message.demand().forEach(entry -> demand.put(entry.key(), Math.max(0, entry.perSecond())));
    Map<EvidenceKey, ResponseTally> evidence = new HashMap<>();
    message.evidence().forEach(entry -> evidence.put(entry.key(), entry.tally()));
    return new LoadReport(
        new HostId(message.sender()),
        new Address(message.ip(), message.port()),
        message.scope(),
        message.session(),
        message.sequence(),
        message.builtOn(),
        loads,
        demand,
        evidence,
        message.poison().stream().map(entry -> entry.fact(now)).toList(),
        message.facts().stream().flatMap(entry -> entry.fact(now).stream()).toList());
  }

  private static TargetLoad load(Entry entry, long now) {
    boolean failed = entry.failedAgoMillis() != NO_FAILURE;
    return new TargetLoad(
        Math.max(0, entry.open()),
        Math.max(0, entry.reading()),
        Math.max(0, entry.copies()),
        Math.max(0, entry.errors()),
        failed ? now - Math.max(0, entry.failedAgoMillis()) : TargetLoad.NEVER);
  }
}
