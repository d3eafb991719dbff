package org.gatereel.control.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class LogSummaryTest {
  private static LogLine line(String name, String subject, String detail) {
    return new LogLine("T", "h1", name, subject, detail);
  }

  private static String summary(LogLine... lines) {
    return String.join("\n", LogSummary.of(List.of(lines)).lines());
  }

  @Test
  void summarizesAStreamResumedFromItsCopy() {
    String text =
        summary(
            line(
                "REQUEST_FORWARDED",
                "r1",
                "copyAt=1:1 fromCopy=false costs=OPEN:2.0,DISTANCE:0.3 loadsAgeMillis=40 millis=0"),
            line("FIRST_TOKEN", "r1", "millis=1000 lastEvent=-1"),
            line("ATTEMPT_FAILED", "r1", "failure=RESET mayHaveRun=true millis=3000"),
            line("REQUEST_FORWARDED", "r1", "copyAt=1:1 fromCopy=true costs=- millis=3000"),
            line("STREAM_PAUSED", "r1", "moved=true fromCopy=true"),
            line("REQUEST_ANSWERED", "r1", "status=200 tries=2 lastEvent=100 millis=5000"));

    assertTrue(text.contains("first event, ms: 1000.0 1000.0 1000.0 1000.0 (of 1)"), text);
    assertTrue(text.contains("each event after it, ms: 40.0"), text);
    assertTrue(text.contains("1 continued from a copy"), text);
    assertTrue(text.contains("1 failed after the first event: RESET"), text);
    assertTrue(text.contains("1 paused: moved=true fromCopy=true"), text);
    assertTrue(text.contains("h1: open there 2.0"), text);
  }

  @Test
  void summarizesPlainCallsSeparately() {
    String text =
        summary(
            line("REQUEST_FORWARDED", "r2", "copyAt=- fromCopy=false millis=0"),
            line("REQUEST_ANSWERED", "r2", "status=200 tries=1 lastEvent=-1 millis=50"));

    assertTrue(text.indexOf("1 answered") > text.indexOf("plain calls"), text);
  }

  @Test
  void countsRequestsAndSkipsOfALimitedTargetByHost() {
    String text =
        summary(
            line("LIMIT_ANNOUNCED", "t1", "perSecond=5.400 before=- source=TARGET ageMillis=0"),
            line("LIMIT_ANNOUNCED", "t1", "perSecond=5.400 before=- source=OTHER_HOST"),
            line("REQUEST_FORWARDED", "r1", "target=t1 copyAt=- fromCopy=false millis=0"),
            line("REQUEST_FORWARDED", "r2", "target=t2 copyAt=- fromCopy=false millis=0"),
            line("LIMIT_REACHED", "t1", "perSecond=5.4 passedOver=3 againMillis=90"),
            line("LIMIT_REACHED", "t1", "perSecond=5.4 passedOver=4 againMillis=90"),
            line("LIMIT_LENDER_SILENT", "t1", "host=1:1"));

    assertTrue(text.contains("t1, said [T to h1: 5.400]"), text);
    assertTrue(text.contains("sent by all lines, by host: {h1=1}"), text);
    assertTrue(text.contains("passed over by host: {h1=7}"), text);
    assertTrue(text.contains("lenders that did not answer: 1"), text);
  }

  @Test
  void countsRequestsSentAfterADrainingOrBackoffAnnouncement() {
    String text =
        summary(
            line("REQUEST_FORWARDED", "r1", "target=t1 copyAt=- fromCopy=false millis=0"),
            line("LEAVING_ANNOUNCED", "t1", "leaving=true before=- source=TARGET ageMillis=0"),
            line("REST_ANNOUNCED", "t2", "restMillis=3000 before=- source=OTHER_HOST"),
            line("REQUEST_FORWARDED", "r2", "target=t1 copyAt=- fromCopy=false millis=0"));

    assertTrue(text.contains("t1, said [T to h1: leaving]"), text);
    assertTrue(text.contains("sent by hosts that knew: {h1=1}"), text);
    assertTrue(text.contains("t2, said []"), text);
  }

  @Test
  void omitsLimitsIfNoneWereAnnounced() {
    assertTrue(!summary(line("REQUEST_FORWARDED", "r1", "target=t1")).contains("named how many"));
  }

  @Test
  void ignoresLinesThatAreNoEvents() {
    assertEquals(Optional.empty(), LogLine.parse("# a report of the runtime"));
    assertEquals(Optional.empty(), LogLine.parse("prefix {no json"));
    assertEquals(
        "RESET",
        LogLine.parse("3.1 h1 {\"detail\":\"a=1 failure=RESET\"}")
            .orElseThrow()
            .detailValue("failure"));
  }
}
