package org.gatereel.proofs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.table.RowKey;
import org.gatereel.core.table.TableEdit;

/** Knows what callers saw, what targets ran and what was accepted, and compares. */
public final class Oracle {
  /** How long a leaving target may still get new work, from when the platform knows. */
  public static final long LEAVING_MILLIS = 5_000;

  private final List<Violation> violations = new ArrayList<>();
  private final Map<String, Integer> executions = new HashMap<>();
  private final Set<String> finallyNotRun = new HashSet<>();
  private final Map<TargetId, Long> leavingSince = new HashMap<>();
  private final Map<HostId, Map<RowKey, Long>> seenRows = new HashMap<>();
  private final List<TableEdit> accepted = new ArrayList<>();

  /** One broken promise. */
  public record Violation(Promise promise, String detail) {}

  public void violated(Promise promise, String detail) {
    violations.add(new Violation(promise, detail));
  }

  /** A target ran a call. */
  public void executed(String id) {
    int times = executions.merge(id, 1, Integer::sum);
    if (times > 1) {
      violated(Promise.AT_MOST_ONCE, id + " ran " + times + " times");
    }
    if (finallyNotRun.contains(id)) {
      violated(Promise.NOT_RUN_TRUE, id + " ran after its caller was told that it did not");
    }
  }

  public int executions(String id) {
    return executions.getOrDefault(id, 0);
  }

  /** A caller was told that its call did not run; {@code last} if it does not ask again. */
  public void toldNotRun(String id, boolean last) {
    if (executions(id) > 0) {
      violated(Promise.NOT_RUN_TRUE, id + " had run when its caller was told that it did not");
    }
    if (last) {
      finallyNotRun.add(id);
    }
  }

  public void leaving(TargetId target, long now) {
    leavingSince.putIfAbsent(target, now);
  }

  /** New work arrived at a target. */
  public void newWork(TargetId target, long now) {
    Long since = leavingSince.get(target);
    if (since != null && now - since > LEAVING_MILLIS) {
      violated(Promise.LEAVING_GETS_NOTHING, target + " got work " + (now - since) + " ms later");
    }
  }

  public void accepted(TableEdit edit) {
    accepted.add(edit);
  }

  public List<TableEdit> accepted() {
    return List.copyOf(accepted);
  }

  /** Compares what a host has in force with what it had before. */
  public void inForce(HostId host, List<TableEdit> latest) {
    Map<RowKey, Long> seen = seenRows.computeIfAbsent(host, id -> new HashMap<>());
    for (TableEdit edit : latest) {
      Long before = seen.put(edit.row().key(), edit.revision());
      if (before != null && before > edit.revision()) {
        violated(
            Promise.EDITS_HOLD,
            host
                + ": "
                + edit.row().key()
                + " went back from "
                + before
                + " to "
                + edit.revision());
      }
    }
  }

  /** A host process ended; the next one under its name starts with nothing. */
  public void hostForgot(HostId host) {
    seenRows.remove(host);
  }

  public List<Violation> violations() {
    return List.copyOf(violations);
  }
}
