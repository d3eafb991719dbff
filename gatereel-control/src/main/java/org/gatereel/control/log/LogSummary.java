package org.gatereel.control.log;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

/** What the lines of a log say of all requests together; lines are given in the order of time. */
public final class LogSummary {
  private final LimitSummary limits = new LimitSummary();
  private final StatementSummary statements = new StatementSummary();
  private final KindSummary streams = new KindSummary();
  private final KindSummary calls = new KindSummary();
  private final Map<String, HostSummary> hosts = new TreeMap<>();

  /** What the hosts knew when they chose. */
  private static final class HostSummary {
    private final Spread open = new Spread();
    private final Spread age = new Spread();

    private void add(LogLine forwarded) {
      for (String reason : forwarded.input("costs").split(",")) {
        if (reason.startsWith("OPEN:")) {
          open.add(Double.parseDouble(reason.substring("OPEN:".length())));
        }
      }
      forwarded.number("loadsAgeMillis").ifPresent(age::add);
    }
  }

  /** Sums up lines. */
  public static LogSummary of(List<LogLine> lines) {
    LogSummary summary = new LogSummary();
    Map<String, List<LogLine>> requests = new LinkedHashMap<>();
    for (LogLine line : lines) {
      requests.computeIfAbsent(line.subject(), any -> new ArrayList<>()).add(line);
    }
    requests.values().forEach(summary::addRequest);
    lines.forEach(summary.limits::add);
    lines.forEach(summary.statements::add);
    return summary;
  }

  private void addRequest(List<LogLine> lines) {
    boolean forwarded = lines.stream().anyMatch(line -> line.name().equals("REQUEST_FORWARDED"));
    if (!forwarded) {
      return;
    }
    KindSummary kind = lines.stream().anyMatch(LogSummary::isOfStream) ? streams : calls;
    kind.add(lines);
    lines.stream()
        .filter(line -> line.name().equals("REQUEST_FORWARDED"))
        .forEach(line -> hosts.computeIfAbsent(line.host(), any -> new HostSummary()).add(line));
  }

  private static boolean isOfStream(LogLine line) {
    boolean copied = !line.input("copyAt").equals("-");
    return line.name().equals("FIRST_TOKEN") || copied;
  }

  /** Returns the summary as lines of text. */
  public List<String> lines() {
    List<String> lines = new ArrayList<>();
    lines.add("spreads are the 10th, 50th, 90th and 99th percentile");
    lines.add("streams");
    streams.print(lines);
    lines.add("plain calls");
    calls.print(lines);
    lines.add("hosts, when they chose a target");
    hosts.forEach(
        (host, known) ->
            lines.add(
                "  " + host + ": open there " + known.open + "; age of loads, ms " + known.age));
    limits.print(lines);
    statements.print(lines);
    return lines;
  }

  /** Requests of one kind. */
  private static final class KindSummary {
    private final Spread first = new Spread();
    private final Spread event = new Spread();
    private final Spread whole = new Spread();
    private final Spread tries = new Spread();
    private final Map<String, Integer> counts = new TreeMap<>();

    private void add(List<LogLine> lines) {
      OptionalLong firstAt = OptionalLong.empty();
      boolean fromCopy = false;
      for (LogLine line : lines) {
        switch (line.name()) {
          case "REQUEST_FORWARDED" -> {
            fromCopy = line.input("fromCopy").equals("true");
            if (fromCopy) {
              count("continued from a copy");
            } else if (firstAt.isPresent()) {
              count("moved without a copy");
            }
          }
          case "FIRST_TOKEN" -> {
            if (firstAt.isEmpty()) {
              firstAt = line.number("millis");
              firstAt.ifPresent(first::add);
            }
          }
          case "ATTEMPT_FAILED" -> {
            String when = firstAt.isPresent() ? "after" : "before";
            String copy = fromCopy ? ", going on from a copy" : "";
            count("failed " + when + " the first event: " + line.input("failure") + copy);
          }
          case "STREAM_PAUSED" ->
              count("paused: moved=" + line.input("moved") + " fromCopy=" + line.input("fromCopy"));
          case "PROMPT_LOCATED" ->
              count(line.input("target").equals("-") ? "prompt not found" : "prompt found");
          case "REQUEST_REFUSED" -> count("refused: " + line.input("reason"));
          case "GENERATION_INTERRUPTED" -> count("interrupted: " + line.input("reason"));
          case "CALLER_GONE" -> count("caller gone");
          case "REQUEST_ANSWERED" -> answered(line, firstAt);
          default -> {}
        }
      }
    }

    private void answered(LogLine line, OptionalLong firstAt) {
      count("answered");
      line.number("tries").ifPresent(tries::add);
      line.number("millis").ifPresent(whole::add);
      long events = line.number("lastEvent").orElse(0);
      if (firstAt.isPresent() && line.number("millis").isPresent() && events > 0) {
        long millis = line.number("millis").getAsLong() - firstAt.getAsLong();
        event.add((double) millis / events);
      }
    }

    private void count(String what) {
      counts.merge(what, 1, Integer::sum);
    }

    private void print(List<String> lines) {
      lines.add("  first event, ms: " + first);
      lines.add("  each event after it, ms: " + event);
      lines.add("  whole answer, ms: " + whole);
      lines.add("  tries of an answered one: " + tries);
      counts.forEach((what, count) -> lines.add("  " + count + " " + what));
    }
  }
}
