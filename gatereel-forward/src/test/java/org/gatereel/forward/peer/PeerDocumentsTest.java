package org.gatereel.forward.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import org.gatereel.core.forward.DocumentCache;
import org.gatereel.core.forward.DocumentKind;
import org.gatereel.core.forward.SharedDocument;
import org.junit.jupiter.api.Test;

/**
 * The end of a connection was taken for the end of an answer. What another host has must not look
 * like less than it is; an answer that is cut is no answer.
 */
class PeerDocumentsTest {
  private static final long NOW = 1_000;

  @Test
  void aCutAnswerOfAnotherHostIsNone() {
    DocumentCache known = new DocumentCache();
    known.take(new SharedDocument(DocumentKind.CONFIGURATION, "{\"values\":{}}", "d1", 3, NOW));
    known.take(new SharedDocument(DocumentKind.TARGETS, "{\"values\":{}}", "d2", 4, NOW));
    byte[] answer =
        PeerDocuments.writeResponse(PeerDocuments.PATH, known, NOW)
            .getBytes(StandardCharsets.UTF_8);
    assertEquals(2, PeerDocuments.readResponse(answer).orElseThrow().size());
    for (int length = 0; length < answer.length; length++) {
      assertEquals(Optional.empty(), PeerDocuments.readResponse(Arrays.copyOf(answer, length)));
    }
  }
}
