package org.gatereel.core.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Describes a rollout and its evidence for operators. */
final class RolloutDescription {
  private RolloutDescription() {}

  static List<String> lines(
      Rollout rollout, VersionRule rule, Map<EvidenceKey, ResponseTally> evidence, long now) {
    List<String> lines = new ArrayList<>();
    lines.add(line(rollout, rule, now));
    evidence.forEach((key, tally) -> lines.add(line(key, tally)));
    return lines;
  }

  /** Returns what the verdict on a rollout is based on. */
  static String inputs(Rollout rollout) {
    return "verdict=" + rollout.verdict().kind() + " " + rollout.verdict().reason();
  }

  private static String line(Rollout rollout, VersionRule rule, long now) {
    RolloutOrder order = rollout.order();
    String state = rollout.record().map(row -> row.state().name()).orElse("NOT_BEGUN");
    String stage = rollout.isRunning() ? " stage=" + rollout.stage(now) : "";
    return order.service()
        + " version="
        + order.version()
        + " state="
        + state
        + stage
        + " rule="
        + rule
        + " "
        + inputs(rollout);
  }

  private static String line(EvidenceKey key, ResponseTally tally) {
    return "  route=%s signal=%s version=%s answers=%d bad=%d usualMillis=%.0f"
        .formatted(
            key.route(),
            key.signal(),
            key.newVersion() ? "new" : "before",
            tally.responses(),
            tally.bad(),
            tally.meanMillis());
  }
}
