package org.gatereel.forward.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.Set;
import org.gatereel.core.document.DocumentCache;
import org.gatereel.core.document.DocumentKind;
import org.gatereel.core.document.DocumentSources.PeerDocument;
import org.gatereel.core.document.SharedDocument;
import org.gatereel.core.document.StoreReading;
import org.gatereel.core.document.StoreVersion;
import org.gatereel.core.model.TargetId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How hosts pass documents to each other. */
class PeerDocumentsTest {
  private static final long NOW = 1_000;

  private static SharedDocument document(DocumentKind kind, String digest, long version) {
    StoreReading reading = new StoreReading(new StoreVersion(2, version), NOW - 30, NOW - 10);
    return new SharedDocument(kind, "{\"values\":{}}", digest, reading);
  }

  /** Guards against a return of the store that hosts without access to it do not hear of. */
  @Test
  void eraAndTimesOfTheReadingAreKnownToTheRequester() {
    DocumentCache known = new DocumentCache();
    known.update(document(DocumentKind.TARGETS, "d2", 4));
    String query = PeerDocuments.writeQuery(new DocumentCache());
    PeerDocument received = readOne(PeerDocuments.writeResponse(query, known, NOW));
    assertEquals(new StoreVersion(2, 4), received.version());
    assertEquals(30, received.ageMillis());
    assertEquals(20, received.readMillis());
  }

  /** Guards against targets that have left and that a host which has just started uses. */
  @Test
  void excludedTargetsAreKnownToTheRequester() {
    Set<TargetId> excluded = Set.of(new TargetId("e2"), new TargetId("e3", 1_700));
    DocumentCache known = new DocumentCache();
    known.update(document(DocumentKind.TARGETS, "d2", 4));
    known.setExcludedTargets(() -> excluded);
    String query = PeerDocuments.writeQuery(new DocumentCache());
    PeerDocument received = readOne(PeerDocuments.writeResponse(query, known, NOW));
    assertEquals(excluded, received.excludedTargets());
  }

  /** Guards against a response that hosts of the version before cannot read. */
  @Test
  void hostThatDoesNotAskForOptionalFieldsReceivesNone() {
    DocumentCache known = new DocumentCache();
    known.update(document(DocumentKind.TARGETS, "d2", 4));
    known.setExcludedTargets(() -> Set.of(new TargetId("e2")));
    String response = PeerDocuments.writeResponse(PeerDocuments.PATH, known, NOW);
    assertFalse(response.contains("era"));
    assertFalse(response.contains("readMillis"));
    assertFalse(response.contains("excluded"));
    PeerDocument received = readOne(response);
    assertEquals(StoreVersion.withoutEra(4), received.version());
    assertEquals(received.ageMillis(), received.readMillis());
  }

  private static PeerDocument readOne(String response) {
    byte[] body = response.getBytes(StandardCharsets.UTF_8);
    return PeerDocuments.readResponse(body).orElseThrow().get(0);
  }

  /** Guards against a query that never ends, since its response cannot be read. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "[null]",
        "[{\"kind\":\"TARGETS\",\"digest\":\"d\",\"version\":1,\"ageMillis\":1,\"excluded\":[null]}]"
      })
  void responseWithAnUnusableEntryIsRejected(String response) {
    byte[] body = response.getBytes(StandardCharsets.UTF_8);
    assertEquals(Optional.empty(), PeerDocuments.readResponse(body));
  }

  /** Guards against accepting a truncated list of another host's documents. */
  @Test
  void rejectsATruncatedResponse() {
    DocumentCache known = new DocumentCache();
    known.update(document(DocumentKind.CONFIGURATION, "d1", 3));
    known.update(document(DocumentKind.TARGETS, "d2", 4));
    byte[] response =
        PeerDocuments.writeResponse(PeerDocuments.PATH, known, NOW)
            .getBytes(StandardCharsets.UTF_8);
    assertEquals(2, PeerDocuments.readResponse(response).orElseThrow().size());
    for (int length = 0; length < response.length; length++) {
      assertEquals(Optional.empty(), PeerDocuments.readResponse(Arrays.copyOf(response, length)));
    }
  }
}
