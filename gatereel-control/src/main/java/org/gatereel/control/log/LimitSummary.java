package org.gatereel.control.log;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Targets that took only so many requests: what they said, who sent them some and who did not. */
final class LimitSummary {
  private final Map<String, Target> targets = new LinkedHashMap<>();
  private final Map<String, Map<String, Integer>> sent = new TreeMap<>();

  /** What lines say of one target. */
  private static final class Target {
    private final List<String> said = new ArrayList<>();
    private final Map<String, Long> passedOver = new TreeMap<>();
    private int silentLenders;
  }

  void add(LogLine line) {
    switch (line.name()) {
      case "LIMIT_ANNOUNCED" -> announced(line);
      case "LIMIT_REACHED" ->
          target(line)
              .passedOver
              .merge(line.host(), line.number("passedOver").orElse(1), Long::sum);
      case "LIMIT_LENDER_SILENT" -> target(line).silentLenders++;
      case "REQUEST_FORWARDED" ->
          sent.computeIfAbsent(line.input("target"), any -> new TreeMap<>())
              .merge(line.host(), 1, Integer::sum);
      default -> {}
    }
  }

  private void announced(LogLine line) {
    if (line.input("source").equals("TARGET")) {
      target(line).said.add(line.time() + " to " + line.host() + ": " + line.input("perSecond"));
    }
  }

  private Target target(LogLine line) {
    return targets.computeIfAbsent(line.subject(), any -> new Target());
  }

  /** Adds lines of text, none if no target named a limit. */
  void print(List<String> lines) {
    if (targets.isEmpty()) {
      return;
    }
    lines.add("targets that named how many requests a second they take");
    targets.forEach(
        (name, target) -> {
          lines.add("  " + name + ", said " + target.said);
          lines.add("    sent by all lines, by host: " + sent.getOrDefault(name, Map.of()));
          lines.add("    passed over by host: " + target.passedOver);
          lines.add("    lenders that did not answer: " + target.silentLenders);
        });
  }
}
