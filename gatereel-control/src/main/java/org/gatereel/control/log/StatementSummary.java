package org.gatereel.control.log;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Targets that said that they leave or want rest: to whom, and what hosts sent them after. */
final class StatementSummary {
  private final Map<String, Target> targets = new LinkedHashMap<>();

  /** What lines say of one target. */
  private static final class Target {
    private final List<String> said = new ArrayList<>();
    private final Map<String, Integer> sentByKnowing = new TreeMap<>();
    private final Map<String, String> firstKnown = new TreeMap<>();
  }

  /** Takes in a line; lines are given in the order of time. */
  void add(LogLine line) {
    switch (line.name()) {
      case "LEAVING_ANNOUNCED" -> said(line, "leaving");
      case "REST_ANNOUNCED" -> said(line, "rest of " + line.input("restMillis") + " ms");
      case "REQUEST_FORWARDED" -> forwarded(line);
      default -> {}
    }
  }

  private void said(LogLine line, String what) {
    Target target = targets.computeIfAbsent(line.subject(), any -> new Target());
    target.firstKnown.putIfAbsent(line.host(), line.time());
    if (line.input("source").equals("TARGET")) {
      target.said.add(line.time() + " to " + line.host() + ": " + what);
    }
  }

  private void forwarded(LogLine line) {
    Target target = targets.get(line.input("target"));
    if (target != null && target.firstKnown.containsKey(line.host())) {
      target.sentByKnowing.merge(line.host(), 1, Integer::sum);
    }
  }

  /** Adds lines of text, none if no target said such a thing. */
  void print(List<String> lines) {
    if (targets.isEmpty()) {
      return;
    }
    lines.add("targets that said that they leave or want rest");
    targets.forEach(
        (name, target) -> {
          lines.add("  " + name + ", said " + target.said);
          lines.add("    known first by host: " + target.firstKnown);
          lines.add("    sent by hosts that knew: " + target.sentByKnowing);
        });
  }
}
