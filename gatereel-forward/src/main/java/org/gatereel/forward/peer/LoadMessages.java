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
import org.gatereel.core.load.LearntTime;
import org.gatereel.core.load.LoadReport;
import org.gatereel.core.load.LoadScope;
import org.gatereel.core.load.TargetLoad;
import org.gatereel.core.load.TargetTimes;
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
 * Encodes load reports as JSON.
 *
 * <p>Times are sent as ages, because the monotonic clocks of two hosts are unrelated.
 */
final class LoadMessages {
  static final String PATH = "/loads";

  /** The body of a response of a host that reads compressed reports and changes of demand. */
  static final String READS_CHANGES = "changes";

  /** The status of a receiver that has not received the report that a delta is based on. */
  static final int FULL_REPORT_NEEDED_STATUS = 409;

  /** The value of {@code failedAgoMillis} if no failure was recorded. */
  private static final long NO_FAILURE = -1;

  private static final double MICROS_PER_MILLI = 1_000;

  /** Ignores unknown fields, which hosts of a later version can send. */
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build();

  private LoadMessages() {}

  /** A load report on the wire. */
  @JsonInclude(JsonInclude.Include.NON_ABSENT)
  private record Message(
      String sender,
      String ip,
      int port,
      LoadScope scope,
      long session,
      long sequence,
      OptionalLong builtOn,
      @JsonInclude(JsonInclude.Include.NON_DEFAULT) boolean hasDemandChanges,
      List<LoadEntry> loads,
      List<Demand> demand,
      @JsonInclude(JsonInclude.Include.NON_EMPTY) List<Evidence> evidence,
      @JsonInclude(JsonInclude.Include.NON_EMPTY) List<Poison> poison,
      @JsonInclude(JsonInclude.Include.NON_EMPTY) List<Fact> facts,
      @JsonInclude(JsonInclude.Include.NON_EMPTY) List<Times> times) {
    Message {
      times = times == null ? List.of() : times;
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
          && times.stream().allMatch(entry -> entry != null && entry.target() != null)
          && poison.stream().allMatch(entry -> entry != null && entry.request() != null)
          && loads.stream().allMatch(entry -> entry != null && entry.target() != null);
    }
  }

  /** The load of one target, as an array of values. */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  private record LoadEntry(
      String target, int open, int reading, int copies, int errors, long failedAgoMillis) {}

  /**
   * The learnt times of one target, as an array of values.
   *
   * <p>Times are in microseconds; a weight of 0 marks an unknown time. The values are not limited
   * to whole numbers, so that impossible ones do not make the report unreadable.
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  private record Times(
      String target, double eventMicros, double eventWeight, double workMicros, double workWeight) {
    static Times of(TargetId target, TargetTimes times) {
      return new Times(
          TargetIdCodec.encode(target),
          Math.rint(MICROS_PER_MILLI * times.event().millis()),
          roundedWeight(times.event()),
          Math.rint(MICROS_PER_MILLI * times.work().millis()),
          roundedWeight(times.work()));
    }

    private static double roundedWeight(LearntTime time) {
      return time.isKnown() ? Math.max(1, Math.rint(time.weight())) : 0;
    }

    TargetTimes times() {
      return new TargetTimes(
          LearntTime.ofMillis(eventMicros / MICROS_PER_MILLI, eventWeight),
          LearntTime.ofMillis(workMicros / MICROS_PER_MILLI, workWeight));
    }
  }

  /** The request rate of one demand key, as an array of values; the account may be null. */
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

  /** The rollout evidence of one key, as an array of values. */
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
   * An execution of a suspected poison request, as an array of values; the target is that which
   * crashed, or null if the execution succeeded.
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  private record Poison(String request, String target, long ranMillis, long agoMillis) {
    static Poison of(PoisonFact fact, long nowMillis) {
      return new Poison(
          fact.request().value(),
          fact.ended().map(TargetIdCodec::encode).orElse(null),
          fact.at() - fact.sentAt(),
          Math.max(0, nowMillis - fact.at()));
    }

    PoisonFact fact(long nowMillis) {
      long at = nowMillis - Math.max(0, agoMillis);
      return new PoisonFact(
          new Fingerprint(request),
          Optional.ofNullable(target).map(TargetIdCodec::decode),
          at - Math.max(0, ranMillis),
          at);
    }
  }

  /**
   * A fact that a target announced, as an array of values; the value is null for kinds without one.
   *
   * <p>The kind is a string, so that reports with kinds of a later version can be read.
   */
  @JsonFormat(shape = JsonFormat.Shape.ARRAY)
  private record Fact(String kind, String target, Double value, long agoMillis) {
    static Fact of(TargetFact fact, long nowMillis) {
      return new Fact(
          fact.kind().name(),
          TargetIdCodec.encode(fact.target()),
          fact.value().isPresent() ? fact.value().getAsDouble() : null,
          Math.max(0, nowMillis - fact.announcedAt()));
    }

    /** Returns the fact; empty if its kind is unknown or its value is invalid. */
    Optional<TargetFact> fact(long nowMillis) {
      OptionalDouble factValue = value == null ? OptionalDouble.empty() : OptionalDouble.of(value);
      return Enums.getIfPresent(FactKind.class, Strings.nullToEmpty(kind))
          .toJavaUtil()
          .filter(factKind -> target != null)
          .flatMap(
              factKind ->
                  factKind.create(
                      TargetIdCodec.decode(target), factValue, nowMillis - Math.max(0, agoMillis)));
    }
  }

  static byte[] write(LoadReport report, long nowMillis) {
    List<LoadEntry> entries = new ArrayList<>();
    report.loads().forEach((target, load) -> entries.add(loadEntry(target, load, nowMillis)));
    List<Times> times = new ArrayList<>();
    report.times().forEach((target, learnt) -> times.add(Times.of(target, learnt)));
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
            report.header().hasDemandChanges(),
            entries,
            demand,
            evidence,
            report.poison().stream().map(fact -> Poison.of(fact, nowMillis)).toList(),
            report.targetFacts().stream().map(fact -> Fact.of(fact, nowMillis)).toList(),
            times);
    try {
      return MAPPER.writeValueAsBytes(message);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("load report could not be written as JSON", e);
    }
  }

  private static LoadEntry loadEntry(TargetId target, TargetLoad load, long nowMillis) {
    boolean failed = load.failedAt() != TargetLoad.NEVER;
    return new LoadEntry(
        TargetIdCodec.encode(target),
        load.open(),
        load.reading(),
        load.copies(),
        load.errors(),
        failed ? Math.max(0, nowMillis - load.failedAt()) : NO_FAILURE);
  }

  /** Reads a report received at {@code nowMillis}, compressed or not; empty if it is malformed. */
  static Optional<LoadReport> read(byte[] body, long nowMillis) {
    try {
      byte[] json =
          ReportCompression.isCompressed(body) ? ReportCompression.decompress(body) : body;
      return Optional.ofNullable(MAPPER.readValue(json, Message.class))
          .filter(Message::isComplete)
          .map(message -> report(message, nowMillis));
    } catch (IOException e) {
      // The sender receives an error status and logs that the report was not accepted.
      return Optional.empty();
    }
  }

  private static LoadReport report(Message message, long nowMillis) {
    Map<TargetId, TargetLoad> loads = new HashMap<>();
    message
        .loads()
        .forEach(entry -> loads.put(TargetIdCodec.decode(entry.target()), load(entry, nowMillis)));
    Map<TargetId, TargetTimes> times = new HashMap<>();
    message
        .times()
        .forEach(entry -> times.put(TargetIdCodec.decode(entry.target()), entry.times()));
    Map<DemandKey, Double> demand = new HashMap<>();
    message.demand().forEach(entry -> demand.put(entry.key(), Math.max(0, entry.perSecond())));
    Map<EvidenceKey, ResponseTally> evidence = new HashMap<>();
    message.evidence().forEach(entry -> evidence.put(entry.key(), entry.tally()));
    LoadReport.Header header =
        new LoadReport.Header(
            new HostId(message.sender()),
            new Address(message.ip(), message.port()),
            message.scope(),
            message.session(),
            message.sequence(),
            message.builtOn(),
            message.hasDemandChanges());
    return new LoadReport(
        header,
        loads,
        demand,
        evidence,
        message.poison().stream().map(entry -> entry.fact(nowMillis)).toList(),
        message.facts().stream().flatMap(entry -> entry.fact(nowMillis).stream()).toList(),
        times);
  }

  private static TargetLoad load(LoadEntry entry, long nowMillis) {
    boolean failed = entry.failedAgoMillis() != NO_FAILURE;
    return new TargetLoad(
        Math.max(0, entry.open()),
        Math.max(0, entry.reading()),
        Math.max(0, entry.copies()),
        Math.max(0, entry.errors()),
        failed ? nowMillis - Math.max(0, entry.failedAgoMillis()) : TargetLoad.NEVER);
  }
}
