package org.gatereel.core.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.poison.Fingerprint;
import org.gatereel.core.poison.PoisonControl;
import org.gatereel.core.poison.PoisonFact;
import org.gatereel.core.target.TargetState;

/**
 * Finds out whether targets have ended at which runs broke as they began.
 *
 * <p>A connection breaks for many reasons, and only the end of the target's process counts against
 * a request. So the target is probed: one that answers lives, one at whose address nobody or
 * another run answers has ended. One that is silent may be cut off, and is asked again for a while.
 */
final class TargetExitDetector {
  /** A target that ended silently is back after some seconds, and then known to be another run. */
  private static final int MAX_PROBE_RETRIES = 6;

  private final CoreContext context;
  private final TargetPort port;
  private final PoisonControl poison;
  private final long probeTimeoutMillis;
  private final Map<TargetId, ExitCheck> pendingChecks = new HashMap<>();

  /** The question whether one run of a target has ended. */
  private final class ExitCheck {
    private final TargetState target;
    private final Map<Fingerprint, PoisonFact> requests = new LinkedHashMap<>();
    private List<Runnable> waiters = new ArrayList<>();
    private boolean probed;

    private ExitCheck(TargetState target) {
      this.target = target;
    }

    private TargetId id() {
      return target.description().id();
    }

    private void probe(int number) {
      long millis = probeTimeoutMillis << number;
      long nextAt = context.now() + millis;
      port.probe(
          target.description(),
          probeTimeoutMillis,
          result -> onProbeResult(number, nextAt, result));
    }

    private void onProbeResult(int number, long nextAt, ProbeResult result) {
      boolean unknown = result == ProbeResult.UNKNOWN || result == ProbeResult.ANSWERED;
      if (unknown && number < MAX_PROBE_RETRIES) {
        context.after(Math.max(0, nextAt - context.now()), () -> probe(number + 1));
      } else {
        pendingChecks.remove(id());
      }
      if (result == ProbeResult.GONE) {
        requests.values().forEach(poison::ended);
      }
      releaseWaiters();
    }

    /** Nobody waits for more than one probe: a request in doubt may be an innocent one. */
    private void releaseWaiters() {
      probed = true;
      List<Runnable> released = waiters;
      waiters = new ArrayList<>();
      released.forEach(Runnable::run);
    }
  }

  /**
   * Makes it.
   *
   * @param patienceMillis how long a probe may go unanswered
   */
  TargetExitDetector(
      CoreContext context, TargetPort port, PoisonControl poison, long patienceMillis) {
    this.context = context;
    this.port = port;
    this.poison = poison;
    this.probeTimeoutMillis = patienceMillis;
  }

  /** Notes that a run broke at a target as it began; it had been sent there at a time. */
  void recordFailure(TargetState target, Fingerprint request, long sentAt) {
    TargetId id = target.description().id();
    PoisonFact end = PoisonFact.end(request, id, sentAt, context.now());
    ExitCheck question = pendingChecks.get(id);
    if (question == null) {
      question = new ExitCheck(target);
      pendingChecks.put(id, question);
      question.requests.put(request, end);
      question.probe(0);
    } else {
      question.requests.put(request, end);
    }
  }

  /** Runs a step once a first probe has shown what it can, or at once if none is under way. */
  void afterFirstProbe(TargetState target, Runnable step) {
    ExitCheck question = pendingChecks.get(target.description().id());
    if (question == null || question.probed) {
      step.run();
    } else {
      question.waiters.add(step);
    }
  }
}
