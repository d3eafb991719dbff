package org.gatereel.control.log;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Summarizes announcements of draining and backoff, and the requests sent despite them. */
final class AnnouncementSummary {
  private final Map<String, Target> targets = new LinkedHashMap<>();

  private static final class Target {
    private final List<String> announcements = new ArrayList<>();
    private final Map<String, Integer> sentAfterAnnouncement = new TreeMap<>();
    private final Map<String, String> firstKnownByHost = new TreeMap<>();
  }

  /** Adds a line; lines must be added in order of time. */
  void add(LogLine line) {
    switch (line.name()) {
      case "LEAVING_ANNOUNCED" -> addAnnouncement(line, "leaving");
      case "REST_ANNOUNCED" ->
          addAnnouncement(line, "rest of " + line.detailValue("restMillis") + " ms");
      case "REQUEST_FORWARDED" -> addForwardedRequest(line);
      default -> {}
    }
  }

  private void addAnnouncement(LogLine line, String announcement) {
    Target target = targets.computeIfAbsent(line.subject(), any -> new Target());
    target.firstKnownByHost.putIfAbsent(line.host(), line.time());
    if (line.detailValue("source").equals("TARGET")) {
      target.announcements.add(line.time() + " to " + line.host() + ": " + announcement);
    }
  }

  private void addForwardedRequest(LogLine line) {
    Target target = targets.get(line.detailValue("target"));
    if (target != null && target.firstKnownByHost.containsKey(line.host())) {
      target.sentAfterAnnouncement.merge(line.host(), 1, Integer::sum);
    }
  }

  /** Appends the summary to {@code lines}; nothing if there was no announcement. */
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
