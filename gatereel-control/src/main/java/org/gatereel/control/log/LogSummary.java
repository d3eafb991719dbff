package org.gatereel.control.log;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/** Statistics of all requests in a log. */
public final class LogSummary {
  private final LimitSummary limits = new LimitSummary();
  private final AnnouncementSummary announcements = new AnnouncementSummary();
  private final KindSummary streams = new KindSummary();
  private final KindSummary calls = new KindSummary();
  private final Map<String, HostSummary> hosts = new TreeMap<>();

  /** The load of targets and the age of load reports when a host chose a target. */
  private static final class HostSummary {
    private final PercentileSummary openRequests = new PercentileSummary();
    private final PercentileSummary loadAgeMillis = new PercentileSummary();

    private void add(LogLine forwarded) {
      for (String reason : forwarded.detailValue("costs").split(",")) {
        if (reason.startsWith("OPEN:")) {
          openRequests.add(Double.parseDouble(reason.substring("OPEN:".length())));
        }
      }
      forwarded.detailNumber("loadsAgeMillis").ifPresent(loadAgeMillis::add);
    }
  }

  /** Returns the summary of lines, which must be ordered by time. */
  public static LogSummary of(List<LogLine> lines) {
    LogSummary summary = new LogSummary();
    Map<String, List<LogLine>> requests = new LinkedHashMap<>();
    for (LogLine line : lines) {
      requests.computeIfAbsent(line.subject(), any -> new ArrayList<>()).add(line);
    }
    requests.values().forEach(summary::addRequest);
    lines.forEach(summary.limits::add);
    lines.forEach(summary.announcements::add);
    return summary;
  }

  private void addRequest(List<LogLine> lines) {
    boolean forwarded = lines.stream().anyMatch(line -> line.name().equals("REQUEST_FORWARDED"));
    if (!forwarded) {
      return;
    }
    KindSummary kind = lines.stream().anyMatch(LogSummary::belongsToStream) ? streams : calls;
    kind.add(lines);
    lines.stream()
        .filter(line -> line.name().equals("REQUEST_FORWARDED"))
        .forEach(line -> hosts.computeIfAbsent(line.host(), any -> new HostSummary()).add(line));
  }

  private static boolean belongsToStream(LogLine line) {
    boolean copied = !line.detailValue("copyAt").equals("-");
    return line.name().equals("FIRST_TOKEN") || copied;
  }

  /** Returns the summary as text. */
  public List<String> lines() {
    List<String> lines = new ArrayList<>();
    lines.add("spreads are the 10th, 50th, 90th and 99th percentile");
    lines.add("streams");
    streams.print(lines);
    lines.add("plain calls");
    calls.print(lines);
    lines.add("hosts, when they chose a target");
    hosts.forEach(
        (host, summary) ->
            lines.add(
                "  "
                    + host
                    + ": open there "
                    + summary.openRequests
                    + "; age of loads, ms "
                    + summary.loadAgeMillis));
    limits.print(lines);
    announcements.print(lines);
    return lines;
  }

  /** Statistics of the requests of one kind. */
  private static final class KindSummary {
    private final PercentileSummary firstEventMillis = new PercentileSummary();
    private final PercentileSummary eventIntervalMillis = new PercentileSummary();
    private final PercentileSummary responseMillis = new PercentileSummary();
    private final PercentileSummary attempts = new PercentileSummary();
    private final Map<String, Integer> counts = new TreeMap<>();

    private void add(List<LogLine> lines) {
      OptionalLong firstEventAt = OptionalLong.empty();
      boolean fromCopy = false;
      for (LogLine line : lines) {
        switch (line.name()) {
          case "REQUEST_FORWARDED" -> {
            fromCopy = line.detailValue("fromCopy").equals("true");
            if (fromCopy) {
              count("continued from a copy");
            } else if (firstEventAt.isPresent()) {
              count("moved without a copy");
            }
          }
          case "FIRST_TOKEN" -> {
            if (firstEventAt.isEmpty()) {
              firstEventAt = line.detailNumber("millis");
              firstEventAt.ifPresent(firstEventMillis::add);
            }
          }
          case "ATTEMPT_FAILED" -> {
            String when = firstEventAt.isPresent() ? "after" : "before";
            String copy = fromCopy ? ", going on from a copy" : "";
            count("failed " + when + " the first event: " + line.detailValue("failure") + copy);
          }
          case "STREAM_PAUSED" ->
              count(
                  "paused: moved="
                      + line.detailValue("moved")
                      + " fromCopy="
                      + line.detailValue("fromCopy"));
          case "PROMPT_LOCATED" ->
              count(line.detailValue("target").equals("-") ? "prompt not found" : "prompt found");
          case "REQUEST_REFUSED" -> count("refused: " + line.detailValue("reason"));
          case "GENERATION_INTERRUPTED" -> count("interrupted: " + line.detailValue("reason"));
          case "CALLER_GONE" -> count("caller gone");
          case "REQUEST_ANSWERED" -> addResponse(line, firstEventAt);
          default -> {}
        }
      }
    }

    private void addResponse(LogLine line, OptionalLong firstEventAt) {
      count("answered");
      line.detailNumber("tries").ifPresent(attempts::add);
      line.detailNumber("millis").ifPresent(responseMillis::add);
      long events = line.detailNumber("lastEvent").orElse(0);
      if (firstEventAt.isPresent() && line.detailNumber("millis").isPresent() && events > 0) {
        long millis = line.detailNumber("millis").getAsLong() - firstEventAt.getAsLong();
        eventIntervalMillis.add((double) millis / events);
      }
    }

    private void count(String outcome) {
      counts.merge(outcome, 1, Integer::sum);
    }

    private void print(List<String> lines) {
      lines.add("  first event, ms: " + firstEventMillis);
      lines.add("  each event after it, ms: " + eventIntervalMillis);
      lines.add("  whole answer, ms: " + responseMillis);
      lines.add("  tries of an answered one: " + attempts);
      counts.forEach((outcome, count) -> lines.add("  " + count + " " + outcome));
    }
  }
}
