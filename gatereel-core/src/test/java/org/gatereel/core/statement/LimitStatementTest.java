package org.gatereel.core.statement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class LimitStatementTest {
  @Test
  void anAnswerWithoutALimitSaysNone() {
    assertEquals(LimitStatement.NONE, LimitStatement.of(List.of()));
  }

  @Test
  void decimalNumbersAreRequestsASecond() {
    assertEquals(new LimitStatement.PerSecond(5.4), LimitStatement.of(List.of("5.4")));
    assertEquals(new LimitStatement.PerSecond(12), LimitStatement.of(List.of(" 12 ")));
    assertEquals(new LimitStatement.PerSecond(0.25), LimitStatement.of(List.of(".25")));
    assertEquals(new LimitStatement.PerSecond(0), LimitStatement.of(List.of("0")));
    assertEquals(
        new LimitStatement.PerSecond(999_999_999), LimitStatement.of(List.of("999999999")));
  }

  @Test
  void theLowestOfSeveralHolds() {
    assertEquals(new LimitStatement.PerSecond(2), LimitStatement.of(List.of("8", "2", "5.4")));
  }

  @Test
  void whatIsNoPlainNumberIsUnreadable() {
    for (String text : new String[] {"", "-1", "NaN", "Infinity", "5,4", "1e3", "0x10", "five"}) {
      assertInstanceOf(LimitStatement.Unreadable.class, LimitStatement.of(List.of(text)), text);
    }
    assertInstanceOf(LimitStatement.Unreadable.class, LimitStatement.of(List.of("5", "some")));
  }

  @Test
  void littleOfALongTextIsKept() {
    LimitStatement statement = LimitStatement.of(List.of("x".repeat(10_000)));

    assertTrue(((LimitStatement.Unreadable) statement).text().length() <= 40);
  }
}
