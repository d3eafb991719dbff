package org.gatereel.core.statement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class StatementReaderTest {
  @Test
  void anAnswerWithoutALimitSaysNone() {
    assertEquals(Statement.none(), StatementReader.limit(List.of()));
  }

  @Test
  void decimalNumbersAreRequestsASecond() {
    assertEquals(Statement.number(5.4), StatementReader.limit(List.of("5.4")));
    assertEquals(Statement.number(12), StatementReader.limit(List.of(" 12 ")));
    assertEquals(Statement.number(0.25), StatementReader.limit(List.of(".25")));
    assertEquals(Statement.number(0), StatementReader.limit(List.of("0")));
    assertEquals(Statement.number(999_999_999), StatementReader.limit(List.of("999999999")));
  }

  @Test
  void theLowestOfSeveralHolds() {
    assertEquals(Statement.number(2), StatementReader.limit(List.of("8", "2", "5.4")));
  }

  @Test
  void whatIsNoPlainNumberIsUnreadable() {
    for (String text : new String[] {"", "-1", "NaN", "Infinity", "5,4", "1e3", "0x10", "five"}) {
      assertInstanceOf(Statement.Unreadable.class, StatementReader.limit(List.of(text)), text);
    }
    assertInstanceOf(Statement.Unreadable.class, StatementReader.limit(List.of("5", "some")));
  }

  @Test
  void littleOfALongTextIsKept() {
    Statement<Double> statement = StatementReader.limit(List.of("x".repeat(10_000)));

    assertTrue(statement.unreadable().orElseThrow().length() <= 40);
  }

  @Test
  void restIsToldInSecondsAndTheLongestHolds() {
    assertEquals(new Statement.Said<>(3_000L), StatementReader.restMillis(List.of("3")));
    assertEquals(new Statement.Said<>(250L), StatementReader.restMillis(List.of(" .25 ")));
    assertEquals(new Statement.Said<>(0L), StatementReader.restMillis(List.of("0")));
    assertEquals(new Statement.Said<>(4_500L), StatementReader.restMillis(List.of("1", "4.5")));
    assertEquals(Statement.none(), StatementReader.restMillis(List.of()));
  }

  /** A wrong number must not take a target out of service for good. */
  @Test
  void noRestIsLongerThanTheLongest() {
    for (String text : new String[] {"601", "999999999", "999999999999999999"}) {
      assertEquals(
          new Statement.Said<>(StatementReader.LONGEST_REST_MILLIS),
          StatementReader.restMillis(List.of(text)));
    }
  }

  @Test
  void aRestThatIsNoNumberOfSecondsIsUnreadable() {
    for (String text : new String[] {"", "-3", "soon", "Thu, 03 Dec 2026 08:00:00 GMT"}) {
      assertInstanceOf(Statement.Unreadable.class, StatementReader.restMillis(List.of(text)), text);
    }
  }

  @Test
  void aTargetLeavesIfAnyOfSeveralValuesSaysSo() {
    assertEquals(new Statement.Said<>(true), StatementReader.leaving(List.of("1")));
    assertEquals(new Statement.Said<>(true), StatementReader.leaving(List.of(" true ")));
    assertEquals(new Statement.Said<>(true), StatementReader.leaving(List.of("0", "1")));
    assertEquals(new Statement.Said<>(false), StatementReader.leaving(List.of("0")));
    assertEquals(Statement.none(), StatementReader.leaving(List.of()));
  }

  @Test
  void anyOtherWordOnLeavingIsUnreadable() {
    for (String text : new String[] {"", "2", "yes", "leaving"}) {
      assertInstanceOf(Statement.Unreadable.class, StatementReader.leaving(List.of(text)), text);
    }
  }
}
