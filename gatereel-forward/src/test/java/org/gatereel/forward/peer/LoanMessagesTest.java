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

class LoanMessagesTest {
  private static final long SENT_AT = 50_000;
  private static final long CAME_AT = 900;

  private static TokenRequest.LimitTokens requests(double perSecond, long since) {
    LimitFact limit =
        new LimitFact(new TargetId("a b&c", 77), new AnnouncedLimit(perSecond, since));
    return new TokenRequest.LimitTokens(limit, new DataCentre("north hall"), true, true);
  }

  @Test
  void aQuestionForRepeatsIsReadAsItWasWritten() {
    TokenRequest repeats = new TokenRequest.RetryTokens(new ServiceName("a b&c=d"));

    assertEquals(
        Optional.of(new LoanMessages.Question(repeats, 12)),
        LoanMessages.read(LoanMessages.write(repeats, 12, SENT_AT), CAME_AT));
  }

  @Test
  void theAgeOfALimitTravelsAndNotItsTime() {
    String written = LoanMessages.write(requests(5.4, SENT_AT - 40), 3, SENT_AT);

    assertEquals(
        Optional.of(new LoanMessages.Question(requests(5.4, CAME_AT - 40), 3)),
        LoanMessages.read(written, CAME_AT));
  }

  @Test
  void whatIsNoQuestionIsNone() {
    for (String target :
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
      assertEquals(Optional.empty(), LoanMessages.read(target, CAME_AT), target);
    }
  }

  @Test
  void anAnswerIsReadAsItWasWritten() {
    TokenGrant loan = new TokenGrant(3, 250);

    assertEquals(Optional.of(loan), answer(LoanMessages.writeAnswer(loan)));
  }

  @Test
  void anAnswerThatIsNoneLendsNothing() {
    for (String text : new String[] {"", "3", "three 0", "-3 0", "3 -1", "3 x", "3 0 0"}) {
      assertEquals(Optional.empty(), answer(text), text);
    }
  }

  private static Optional<TokenGrant> answer(String text) {
    return LoanMessages.readAnswer(text.getBytes(StandardCharsets.UTF_8));
  }
}
