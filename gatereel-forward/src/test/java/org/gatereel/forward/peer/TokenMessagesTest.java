package org.gatereel.forward.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.gatereel.core.limit.TokenGrant;
import org.gatereel.core.limit.TokenRequest;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.statement.AnnouncedLimit;
import org.gatereel.core.statement.LimitFact;
import org.junit.jupiter.api.Test;

class TokenMessagesTest {
  private static final long SENT_AT = 50_000;
  private static final long RECEIVED_AT = 900;

  private static TokenRequest.LimitTokens limitTokens(double perSecond, long announcedAt) {
    LimitFact limit =
        new LimitFact(new TargetId("a b&c", 77), new AnnouncedLimit(perSecond, announcedAt));
    return new TokenRequest.LimitTokens(limit, new DataCentre("north hall"), true, true);
  }

  /** A lender that took the request for one to the issuer would grant out of the wrong part. */
  @Test
  void readsARequestForUnusedRetryTokensAsWritten() {
    TokenRequest unused = new TokenRequest.UnusedRetryTokens(new ServiceName("a b&c=d"));

    assertEquals(
        Optional.of(new TokenMessages.Query(unused, 3)),
        TokenMessages.readQuery(TokenMessages.writeQuery(unused, 3, 0), 0));
  }

  @Test
  void readsARequestForRetryTokensAsWritten() {
    TokenRequest retryTokens = new TokenRequest.RetryTokens(new ServiceName("a b&c=d"));

    assertEquals(
        Optional.of(new TokenMessages.Query(retryTokens, 12)),
        TokenMessages.readQuery(TokenMessages.writeQuery(retryTokens, 12, SENT_AT), RECEIVED_AT));
  }

  @Test
  void sendsTheAgeOfALimit() {
    String query = TokenMessages.writeQuery(limitTokens(5.4, SENT_AT - 40), 3, SENT_AT);

    assertEquals(
        Optional.of(new TokenMessages.Query(limitTokens(5.4, RECEIVED_AT - 40), 3)),
        TokenMessages.readQuery(query, RECEIVED_AT));
  }

  @Test
  void rejectsMalformedRequests() {
    for (String requestTarget :
        new String[] {
          "/loans",
          "/loans?service=a",
          "/loans?count=1",
          "/loans?service=&count=1",
          "/loans?service=a&count=0",
          "/loans?service=a&count=-1",
          "/loans?service=a&count=1001",
          "/loans?service=a&count=many",
          "/loans?target=a&count=1",
          "/loans?target=a&count=1&dataCentre=n&perSecond=-1&ageMillis=0",
          "/loans?target=a&count=1&dataCentre=n&perSecond=NaN&ageMillis=0",
          "/loans?target=a&count=1&dataCentre=n&perSecond=1&ageMillis=-1",
          "/loans?target=a&count=1&dataCentre=&perSecond=1&ageMillis=0"
        }) {
      assertEquals(
          Optional.empty(), TokenMessages.readQuery(requestTarget, RECEIVED_AT), requestTarget);
    }
  }

  @Test
  void readsAResponseAsWritten() {
    TokenGrant grant = new TokenGrant(3, 250);

    assertEquals(Optional.of(grant), readResponse(TokenMessages.writeResponse(grant)));
  }

  @Test
  void rejectsMalformedResponses() {
    for (String text : new String[] {"", "3", "three 0", "-3 0", "3 -1", "3 x", "3 0 0"}) {
      assertEquals(Optional.empty(), readResponse(text), text);
    }
  }

  private static Optional<TokenGrant> readResponse(String text) {
    return TokenMessages.readResponse(text.getBytes(StandardCharsets.UTF_8));
  }
}
