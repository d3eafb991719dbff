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
final class TargetEnds {
  /** A target that ended silently is back after some seconds, and then known to be another run. */
  private static final int MOST_PROBES = 6;

  private final CoreContext context;
  private final TargetPort port;
  private final PoisonControl poison;
  private final long patienceMillis;
  private final Map<TargetId, Question> open = new HashMap<>();

  /** The question whether one run of a target has ended. */
  private final class Question {
    private final TargetState target;
    private final Map<Fingerprint, PoisonFact> requests = new LinkedHashMap<>();
    private List<Runnable> waiting = new ArrayList<>();
    private boolean answered;

    private Question(TargetState target) {
      this.target = target;
    }

    private TargetId id() {
      return target.description().id();
    }

    private void ask(int number) {
      long millis = patienceMillis << number;
      long nextAt = context.now() + millis;
      port.probe(target.description(), patienceMillis, result -> probed(number, nextAt, result));
    }

    private void probed(int number, long nextAt, ProbeResult result) {
      boolean unknown = result == ProbeResult.UNKNOWN || result == ProbeResult.ANSWERED;
      if (unknown && number < MOST_PROBES) {
        context.schedule(Math.max(0, nextAt - context.now()), () -> ask(number + 1));
      } else {
        open.remove(id());
      }
      if (result == ProbeResult.GONE) {
        requests.values().forEach(poison::ended);
      }
      release();
    }

    /** Nobody waits for more than one probe: a request in doubt may be an innocent one. */
    private void release() {
      answered = true;
      List<Runnable> released = waiting;
      waiting = new ArrayList<>();
      released.forEach(Runnable::run);
    }
  }

  /**
   * Makes it.
   *
   * @param patienceMillis how long a probe may go unanswered
   */
  TargetEnds(CoreContext context, TargetPort port, PoisonControl poison, long patienceMillis) {
    this.context = context;
    this.port = port;
    this.poison = poison;
    this.patienceMillis = patienceMillis;
  }

  /** Notes that a run broke at a target as it began; it had been sent there at a time. */
  void broke(TargetState target, Fingerprint request, long sentAt) {
    TargetId id = target.description().id();
    PoisonFact end = PoisonFact.end(request, id, sentAt, context.now());
    Question question = open.get(id);
    if (question == null) {
      question = new Question(target);
      open.put(id, question);
      question.requests.put(request, end);
      question.ask(0);
    } else {
      question.requests.put(request, end);
    }
  }

  /** Runs a step once a first probe has shown what it can, or at once if none is under way. */
  void whenKnown(TargetState target, Runnable step) {
    Question question = open.get(target.description().id());
    if (question == null || question.answered) {
      step.run();
    } else {
      question.waiting.add(step);
    }
  }
}
