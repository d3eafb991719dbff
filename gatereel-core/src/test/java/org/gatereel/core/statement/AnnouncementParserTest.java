package org.gatereel.core.statement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class AnnouncementParserTest {
  @Test
  void noValueIsNoLimit() {
    assertEquals(Announcement.none(), AnnouncementParser.limit(List.of()));
  }

  @Test
  void parsesDecimalLimits() {
    assertEquals(Announcement.number(5.4), AnnouncementParser.limit(List.of("5.4")));
    assertEquals(Announcement.number(12), AnnouncementParser.limit(List.of(" 12 ")));
    assertEquals(Announcement.number(0.25), AnnouncementParser.limit(List.of(".25")));
    assertEquals(Announcement.number(0), AnnouncementParser.limit(List.of("0")));
    assertEquals(Announcement.number(999_999_999), AnnouncementParser.limit(List.of("999999999")));
  }

  @Test
  void lowestOfSeveralLimitsCounts() {
    assertEquals(Announcement.number(2), AnnouncementParser.limit(List.of("8", "2", "5.4")));
  }

  @Test
  void limitThatIsNotAPlainNumberIsUnreadable() {
    for (String text : new String[] {"", "-1", "NaN", "Infinity", "5,4", "1e3", "0x10", "five"}) {
      assertInstanceOf(
          Announcement.Unreadable.class, AnnouncementParser.limit(List.of(text)), text);
    }
    assertInstanceOf(Announcement.Unreadable.class, AnnouncementParser.limit(List.of("5", "some")));
  }

  @Test
  void truncatesUnreadableText() {
    Announcement<Double> announcement = AnnouncementParser.limit(List.of("x".repeat(10_000)));

    assertTrue(announcement.unreadable().orElseThrow().length() <= 40);
  }

  @Test
  void parsesBackoffInSecondsAndLongestCounts() {
    assertEquals(
        new Announcement.Announced<>(3_000L), AnnouncementParser.backoffMillis(List.of("3")));
    assertEquals(
        new Announcement.Announced<>(250L), AnnouncementParser.backoffMillis(List.of(" .25 ")));
    assertEquals(new Announcement.Announced<>(0L), AnnouncementParser.backoffMillis(List.of("0")));
    assertEquals(
        new Announcement.Announced<>(4_500L),
        AnnouncementParser.backoffMillis(List.of("1", "4.5")));
    assertEquals(Announcement.none(), AnnouncementParser.backoffMillis(List.of()));
  }

  /** An invalid value must not exclude a target permanently. */
  @Test
  void boundsTheBackoff() {
    for (String text : new String[] {"601", "999999999", "999999999999999999"}) {
      assertEquals(
          new Announcement.Announced<>(AnnouncementParser.MAX_BACKOFF_MILLIS),
          AnnouncementParser.backoffMillis(List.of(text)));
    }
  }

  @Test
  void backoffThatIsNotANumberOfSecondsIsUnreadable() {
    for (String text : new String[] {"", "-3", "soon", "Thu, 03 Dec 2026 08:00:00 GMT"}) {
      assertInstanceOf(
          Announcement.Unreadable.class, AnnouncementParser.backoffMillis(List.of(text)), text);
    }
  }

  @Test
  void anyTrueValueMeansLeaving() {
    assertEquals(new Announcement.Announced<>(true), AnnouncementParser.leaving(List.of("1")));
    assertEquals(new Announcement.Announced<>(true), AnnouncementParser.leaving(List.of(" true ")));
    assertEquals(new Announcement.Announced<>(true), AnnouncementParser.leaving(List.of("0", "1")));
    assertEquals(new Announcement.Announced<>(false), AnnouncementParser.leaving(List.of("0")));
    assertEquals(Announcement.none(), AnnouncementParser.leaving(List.of()));
  }

  @Test
  void otherLeavingValuesAreUnreadable() {
    for (String text : new String[] {"", "2", "yes", "leaving"}) {
      assertInstanceOf(
          Announcement.Unreadable.class, AnnouncementParser.leaving(List.of(text)), text);
    }
  }
}
