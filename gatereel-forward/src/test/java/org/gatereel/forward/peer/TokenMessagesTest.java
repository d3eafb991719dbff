package org.gatereel.forward.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.gatereel.core.limit.Loan;
import org.gatereel.core.limit.LoanSubject;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.statement.AnnouncedLimit;
import org.gatereel.core.statement.LimitFact;
import org.junit.jupiter.api.Test;

class TokenMessagesTest {
  private static final long SENT_AT = 50_000;
  private static final long CAME_AT = 900;

  private static LoanSubject.Requests requests(double perSecond, long since) {
    LimitFact limit =
        new LimitFact(new TargetId("a b&c", 77), new AnnouncedLimit(perSecond, since));
    return new LoanSubject.Requests(limit, new DataCentre("north hall"), true, true);
  }

  @Test
  void aQuestionForRepeatsIsReadAsItWasWritten() {
    LoanSubject repeats = new LoanSubject.Repeats(new ServiceName("a b&c=d"));

    assertEquals(
        Optional.of(new TokenMessages.Query(repeats, 12)),
        TokenMessages.readQuery(TokenMessages.writeQuery(repeats, 12, SENT_AT), CAME_AT));
  }

  @Test
  void theAgeOfALimitTravelsAndNotItsTime() {
    String written = TokenMessages.writeQuery(requests(5.4, SENT_AT - 40), 3, SENT_AT);

    assertEquals(
        Optional.of(new TokenMessages.Query(requests(5.4, CAME_AT - 40), 3)),
        TokenMessages.readQuery(written, CAME_AT));
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
      assertEquals(Optional.empty(), TokenMessages.readQuery(target, CAME_AT), target);
    }
  }

  @Test
  void anAnswerIsReadAsItWasWritten() {
    Loan loan = new Loan(3, 250);

    assertEquals(Optional.of(loan), answer(TokenMessages.writeResponse(loan)));
  }

  @Test
  void anAnswerThatIsNoneLendsNothing() {
    for (String text : new String[] {"", "3", "three 0", "-3 0", "3 -1", "3 x", "3 0 0"}) {
      assertEquals(Optional.empty(), answer(text), text);
    }
  }

  private static Optional<Loan> answer(String text) {
    return TokenMessages.readResponse(text.getBytes(StandardCharsets.UTF_8));
  }
}
