package org.gatereel.core.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.poison.PoisonControl;
import org.gatereel.core.poison.RequestFeatures;
import org.gatereel.core.target.TargetState;

/**
 * Probes targets at which executions failed just after their start, to detect a crash of the
 * target.
 *
 * <p>A connection breaks for many reasons, and only the end of the target's process counts against
 * a request. A target that responds is alive. If the address accepts no connection, or another
 * incarnation responds, the process has ended. A target that does not respond may be unreachable,
 * and is probed again.
 */
final class TargetExitDetector {
  /** Enough for a crashed target to restart and be recognized as a new incarnation. */
  private static final int MAX_PROBE_RETRIES = 6;

  private final CoreContext context;
  private final TargetPort port;
  private final PoisonControl poison;
  private final long probeTimeoutMillis;
  private final Map<TargetId, ExitCheck> pendingChecks = new HashMap<>();

  /** An execution that failed just after its start. */
  private record BrokenExecution(RequestFeatures request, long sentAt, long brokenAt) {}

  /** Checks whether one incarnation of a target has ended. */
  private final class ExitCheck {
    private final TargetState target;
    private final List<BrokenExecution> executions = new ArrayList<>();
    private List<Runnable> waiters = new ArrayList<>();
    private boolean probed;

    private ExitCheck(TargetState target) {
      this.target = target;
    }

    private TargetId id() {
      return target.description().id();
    }

    private void probe(int number) {
      long intervalMillis = probeTimeoutMillis << number;
      long nextAt = context.now() + intervalMillis;
      port.probe(
          target.description(),
          probeTimeoutMillis,
          result -> onProbeResult(number, nextAt, result));
    }

    private void onProbeResult(int number, long nextAt, ProbeResult result) {
      boolean unknown = result == ProbeResult.UNKNOWN || result == ProbeResult.ANSWERED;
      if (unknown && number < MAX_PROBE_RETRIES) {
        context.schedule(Math.max(0, nextAt - context.now()), () -> probe(number + 1));
      } else {
        pendingChecks.remove(id());
      }
      if (result == ProbeResult.GONE) {
        executions.forEach(this::recordEnd);
      }
      releaseWaiters();
    }

    private void recordEnd(BrokenExecution execution) {
      poison.recordEnd(execution.request(), id(), execution.sentAt(), execution.brokenAt());
    }

    /** Waiters are released after the first probe, since the request may be harmless. */
    private void releaseWaiters() {
      probed = true;
      List<Runnable> released = waiters;
      waiters = new ArrayList<>();
      released.forEach(Runnable::run);
    }
  }

  /**
   * Creates a detector.
   *
   * @param probeTimeoutMillis the timeout of a probe
   */
  TargetExitDetector(
      CoreContext context, TargetPort port, PoisonControl poison, long probeTimeoutMillis) {
    this.context = context;
    this.port = port;
    this.poison = poison;
    this.probeTimeoutMillis = probeTimeoutMillis;
  }

  /** Records that an execution sent at {@code sentAt} failed just after its start. */
  void recordFailure(TargetState target, RequestFeatures request, long sentAt) {
    TargetId id = target.description().id();
    ExitCheck check = pendingChecks.get(id);
    boolean isFirst = check == null;
    if (isFirst) {
      check = new ExitCheck(target);
      pendingChecks.put(id, check);
    }
    check.executions.add(new BrokenExecution(request, sentAt, context.now()));
    if (isFirst) {
      check.probe(0);
    }
  }

  /** Runs a step after the first probe of the target, or at once if none is pending. */
  void afterFirstProbe(TargetState target, Runnable step) {
    ExitCheck check = pendingChecks.get(target.description().id());
    if (check == null || check.probed) {
      step.run();
    } else {
      check.waiters.add(step);
    }
  }
}
