package org.gatereel.control.log;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Summarizes the announced rate limits of targets and how hosts kept to them. */
final class LimitSummary {
  private final Map<String, Target> targets = new LinkedHashMap<>();
  private final Map<String, Map<String, Integer>> sentByHost = new TreeMap<>();

  private static final class Target {
    private final List<String> announcements = new ArrayList<>();
    private final Map<String, Long> skippedByHost = new TreeMap<>();
    private int unresponsiveIssuers;
  }

  void add(LogLine line) {
    switch (line.name()) {
      case "LIMIT_ANNOUNCED" -> addAnnouncement(line);
      case "LIMIT_REACHED" ->
          target(line)
              .skippedByHost
              .merge(line.host(), line.detailNumber("passedOver").orElse(1), Long::sum);
      case "LIMIT_LENDER_SILENT" -> target(line).unresponsiveIssuers++;
      case "REQUEST_FORWARDED" ->
          sentByHost
              .computeIfAbsent(line.detailValue("target"), any -> new TreeMap<>())
              .merge(line.host(), 1, Integer::sum);
      default -> {}
    }
  }

  private void addAnnouncement(LogLine line) {
    if (line.detailValue("source").equals("TARGET")) {
      target(line)
          .announcements
          .add(line.time() + " to " + line.host() + ": " + line.detailValue("perSecond"));
    }
  }

  private Target target(LogLine line) {
    return targets.computeIfAbsent(line.subject(), any -> new Target());
  }

  /** Appends the summary to {@code lines}; nothing if no target announced a limit. */
  void print(List<String> lines) {
    if (targets.isEmpty()) {
      return;
    }
    lines.add("targets that named how many requests a second they take");
    targets.forEach(
        (name, target) -> {
          lines.add("  " + name + ", said " + target.announcements);
          lines.add("    sent by all lines, by host: " + sentByHost.getOrDefault(name, Map.of()));
          lines.add("    passed over by host: " + target.skippedByHost);
          lines.add("    lenders that did not answer: " + target.unresponsiveIssuers);
        });
  }
}
