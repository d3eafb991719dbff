package org.gatereel.control.log;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Targets that said that they leave or want rest: to whom, and what hosts sent them after. */
final class AnnouncementSummary {
  private final Map<String, Target> targets = new LinkedHashMap<>();

  /** What lines say of one target. */
  private static final class Target {
    private final List<String> announcements = new ArrayList<>();
    private final Map<String, Integer> sentAfterAnnouncement = new TreeMap<>();
    private final Map<String, String> firstKnownByHost = new TreeMap<>();
  }

  /** Takes in a line; lines are given in the order of time. */
  void add(LogLine line) {
    switch (line.name()) {
      case "LEAVING_ANNOUNCED" -> addAnnouncement(line, "leaving");
      case "REST_ANNOUNCED" ->
          addAnnouncement(line, "rest of " + line.detailValue("restMillis") + " ms");
      case "REQUEST_FORWARDED" -> addForwardedRequest(line);
      default -> {}
    }
  }

  private void addAnnouncement(LogLine line, String what) {
    Target target = targets.computeIfAbsent(line.subject(), any -> new Target());
    target.firstKnownByHost.putIfAbsent(line.host(), line.time());
    if (line.detailValue("source").equals("TARGET")) {
      target.announcements.add(line.time() + " to " + line.host() + ": " + what);
    }
  }

  private void addForwardedRequest(LogLine line) {
    Target target = targets.get(line.detailValue("target"));
    if (target != null && target.firstKnownByHost.containsKey(line.host())) {
      target.sentAfterAnnouncement.merge(line.host(), 1, Integer::sum);
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
          lines.add("  " + name + ", said " + target.announcements);
          lines.add("    known first by host: " + target.firstKnownByHost);
          lines.add("    sent by hosts that knew: " + target.sentAfterAnnouncement);
        });
  }
}
