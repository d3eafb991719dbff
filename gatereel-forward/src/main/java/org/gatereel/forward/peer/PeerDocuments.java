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
import org.gatereel.core.document.DocumentCache;
import org.gatereel.core.document.DocumentKind;
import org.gatereel.core.document.DocumentSources.PeerDocument;
import org.gatereel.core.document.SharedDocument;

/**
 * Encodes the requests for documents between hosts as query strings, and the responses as JSON.
 *
 * <p>A request contains the digests of the requester's documents. The response is a list of {@link
 * PeerDocument}, without the contents that the requester already has.
 */
final class PeerDocuments {
  static final String PATH = "/documents";

  private static final ObjectMapper MAPPER =
      JsonMapper.builder().addModule(new Jdk8Module()).build();
  private static final TypeReference<List<PeerDocument>> READINGS = new TypeReference<>() {};

  private PeerDocuments() {}

  /** Returns the request target of a host that has the documents {@code known}. */
  static String writeQuery(DocumentCache known) {
    QueryStringEncoder query = new QueryStringEncoder(PATH);
    for (DocumentKind kind : DocumentKind.values()) {
      known.find(kind).ifPresent(document -> query.addParam(kind.name(), document.digest()));
    }
    return query.toString();
  }

  /** Returns the response to a request with the given target. */
  static String writeResponse(String requestTarget, DocumentCache known, long nowMillis) {
    QueryStringDecoder query = new QueryStringDecoder(requestTarget);
    List<PeerDocument> readings = new ArrayList<>();
    for (DocumentKind kind : DocumentKind.values()) {
      List<String> digests = query.parameters().getOrDefault(kind.name(), List.of());
      known
          .find(kind)
          .ifPresent(document -> readings.add(peerReading(document, digests, nowMillis)));
    }
    try {
      return MAPPER.writeValueAsString(readings);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("documents could not be written as JSON", e);
    }
  }

  private static PeerDocument peerReading(
      SharedDocument document, List<String> digests, long nowMillis) {
    boolean requesterHasContent = digests.contains(document.digest());
    return new PeerDocument(
        document.kind(),
        requesterHasContent ? Optional.empty() : Optional.of(document.content()),
        document.digest(),
        document.version(),
        nowMillis - document.confirmedAt());
  }

  /** Reads a response; empty if it is malformed or truncated. */
  static Optional<List<PeerDocument>> readResponse(byte[] body) {
    try {
      return Optional.ofNullable(MAPPER.readValue(body, READINGS));
    } catch (IOException e) {
      return Optional.empty();
    }
  }
}
