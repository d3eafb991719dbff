package org.gatereel.forward.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import org.gatereel.core.document.DocumentCache;
import org.gatereel.core.document.DocumentKind;
import org.gatereel.core.document.SharedDocument;
import org.junit.jupiter.api.Test;

/** Guards against accepting a truncated list of another host's documents. */
class PeerDocumentsTest {
  private static final long NOW = 1_000;

  @Test
  void rejectsATruncatedResponse() {
    DocumentCache known = new DocumentCache();
    known.update(new SharedDocument(DocumentKind.CONFIGURATION, "{\"values\":{}}", "d1", 3, NOW));
    known.update(new SharedDocument(DocumentKind.TARGETS, "{\"values\":{}}", "d2", 4, NOW));
    byte[] response =
        PeerDocuments.writeResponse(PeerDocuments.PATH, known, NOW)
            .getBytes(StandardCharsets.UTF_8);
    assertEquals(2, PeerDocuments.readResponse(response).orElseThrow().size());
    for (int length = 0; length < response.length; length++) {
      assertEquals(Optional.empty(), PeerDocuments.readResponse(Arrays.copyOf(response, length)));
    }
  }
}
