package org.gatereel.forward.peer;

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
import org.gatereel.core.forward.DocumentCache;
import org.gatereel.core.forward.DocumentKind;
import org.gatereel.core.forward.DocumentSources.PeerReading;
import org.gatereel.core.forward.SharedDocument;

/**
 * The question that hosts ask each other for documents, and its answer, as HTTP and JSON.
 *
 * <p>The question's parameters are the digests that the asker knows; the answer is a list of {@link
 * PeerReading}, without the contents that the asker has.
 */
final class PeerDocuments {
  static final String PATH = "/documents";

  private static final ObjectMapper MAPPER =
      JsonMapper.builder().addModule(new Jdk8Module()).build();
  private static final TypeReference<List<PeerReading>> READINGS = new TypeReference<>() {};

  private PeerDocuments() {}

  /** Writes the question of a host that has {@code known}. */
  static String writeQuery(DocumentCache known) {
    QueryStringEncoder query = new QueryStringEncoder(PATH);
    for (DocumentKind kind : DocumentKind.values()) {
      known.find(kind).ifPresent(document -> query.addParam(kind.name(), document.digest()));
    }
    return query.toString();
  }

  /** Writes the answer to a question. */
  static String writeResponse(String question, DocumentCache known, long now) {
    QueryStringDecoder query = new QueryStringDecoder(question);
    List<PeerReading> readings = new ArrayList<>();
    for (DocumentKind kind : DocumentKind.values()) {
      List<String> digests = query.parameters().getOrDefault(kind.name(), List.of());
      known.find(kind).ifPresent(document -> readings.add(reading(document, digests, now)));
    }
    try {
      return MAPPER.writeValueAsString(readings);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a record of texts and numbers is JSON", e);
    }
  }

  private static PeerReading reading(SharedDocument document, List<String> digests, long now) {
    boolean had = digests.contains(document.digest());
    return new PeerReading(
        document.kind(),
        had ? Optional.empty() : Optional.of(document.content()),
        document.digest(),
        document.version(),
        now - document.provenAt());
  }

  /** Reads an answer; empty if it is none. */
  static Optional<List<PeerReading>> readResponse(byte[] body) {
    try {
      return Optional.ofNullable(MAPPER.readValue(body, READINGS));
    } catch (IOException e) {
      return Optional.empty();
    }
  }
}
