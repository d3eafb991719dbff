package org.gatereel.forward.peer;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.codec.http.QueryStringEncoder;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.gatereel.core.document.DocumentCache;
import org.gatereel.core.document.DocumentKind;
import org.gatereel.core.document.DocumentSources.PeerDocument;
import org.gatereel.core.document.SharedDocument;
import org.gatereel.core.document.StoreReading;
import org.gatereel.core.document.StoreVersion;
import org.gatereel.core.model.TargetId;

/**
 * Encodes the requests for documents between hosts as query strings, and the responses as JSON.
 *
 * <p>A request contains the digests of the requester's documents. The response is a list of
 * entries, without the contents that the requester already has.
 */
final class PeerDocuments {
  static final String PATH = "/documents";

  private static final ObjectMapper MAPPER =
      JsonMapper.builder().addModule(new Jdk8Module()).build();
  private static final TypeReference<List<Entry>> ENTRIES = new TypeReference<>() {};

  /** The longest read of a document, assumed if a host of an earlier version does not tell. */
  private static final long MAX_READ_MILLIS = 5_000;

  /** Parameter of hosts that read the optional fields, which earlier versions reject. */
  private static final String READS_OPTIONAL_FIELDS = "optional";

  /**
   * A document in a response.
   *
   * @param version the number of the store's version
   * @param era the era of the store's version, if the store has told it
   * @param readMillis as in {@link PeerDocument}
   * @param excluded the {@link PeerDocument#excludedTargets}, if any
   */
  private record Entry(
      DocumentKind kind,
      Optional<String> content,
      String digest,
      long version,
      long ageMillis,
      @JsonInclude(JsonInclude.Include.NON_ABSENT) Optional<Long> era,
      @JsonInclude(JsonInclude.Include.NON_ABSENT) Optional<Long> readMillis,
      @JsonInclude(JsonInclude.Include.NON_ABSENT) Optional<List<ExcludedTarget>> excluded) {

    Entry withoutOptionalFields() {
      return new Entry(
          kind,
          content,
          digest,
          version,
          ageMillis,
          Optional.empty(),
          Optional.empty(),
          Optional.empty());
    }

    PeerDocument toDocument() {
      return new PeerDocument(
          kind,
          content,
          digest,
          new StoreVersion(era.orElse(StoreVersion.UNKNOWN_ERA), version),
          ageMillis,
          readMillis.orElse(Math.min(ageMillis, MAX_READ_MILLIS)),
          excluded.orElse(List.of()).stream()
              .map(target -> new TargetId(target.id(), target.born()))
              .collect(Collectors.toSet()));
    }
  }

  /**
   * A target that the sender excludes.
   *
   * @param born as in {@link TargetId}
   */
  private record ExcludedTarget(String id, long born) {
    static ExcludedTarget of(TargetId target) {
      return new ExcludedTarget(target.value(), target.born());
    }
  }

  private PeerDocuments() {}

  /** Returns the request target of a host that has the documents {@code known}. */
  static String writeQuery(DocumentCache known) {
    QueryStringEncoder query = new QueryStringEncoder(PATH);
    for (DocumentKind kind : DocumentKind.values()) {
      known.find(kind).ifPresent(document -> query.addParam(kind.name(), document.digest()));
    }
    query.addParam(READS_OPTIONAL_FIELDS, "1");
    return query.toString();
  }

  /** Returns the response to a request with the given target. */
  static String writeResponse(String requestTarget, DocumentCache known, long nowMillis) {
    QueryStringDecoder query = new QueryStringDecoder(requestTarget);
    boolean withOptionalFields = query.parameters().containsKey(READS_OPTIONAL_FIELDS);
    List<Entry> entries = new ArrayList<>();
    for (DocumentKind kind : DocumentKind.values()) {
      List<String> digests = query.parameters().getOrDefault(kind.name(), List.of());
      known
          .find(kind)
          .map(document -> entry(document, known.excludedTargets(kind), digests, nowMillis))
          .map(entry -> withOptionalFields ? entry : entry.withoutOptionalFields())
          .ifPresent(entries::add);
    }
    try {
      return MAPPER.writeValueAsString(entries);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("documents could not be written as JSON", e);
    }
  }

  private static Entry entry(
      SharedDocument document, Set<TargetId> excluded, List<String> digests, long nowMillis) {
    boolean requesterHasContent = digests.contains(document.digest());
    StoreReading reading = document.reading();
    StoreVersion version = reading.version();
    return new Entry(
        document.kind(),
        requesterHasContent ? Optional.empty() : Optional.of(document.content()),
        document.digest(),
        version.number(),
        nowMillis - reading.queriedAt(),
        version.hasEra() ? Optional.of(version.era()) : Optional.empty(),
        Optional.of(reading.answeredAt() - reading.queriedAt()),
        Optional.of(excluded.stream().map(ExcludedTarget::of).toList())
            .filter(targets -> !targets.isEmpty()));
  }

  /** Reads a response; empty if it is malformed or truncated. */
  static Optional<List<PeerDocument>> readResponse(byte[] body) {
    try {
      return Optional.ofNullable(MAPPER.readValue(body, ENTRIES))
          .map(entries -> entries.stream().map(Entry::toDocument).toList());
    } catch (IOException | RuntimeException e) {
      // An exception that passes would leave the requester without any result.
      return Optional.empty();
    }
  }
}
