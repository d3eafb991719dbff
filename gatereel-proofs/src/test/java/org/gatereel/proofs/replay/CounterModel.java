package org.gatereel.proofs.replay;

import java.util.HashSet;
import java.util.Set;
import org.gatereel.core.model.TargetDescription;

/** A plain service whose calls each take the same time at one of its workers. */
final class CounterModel extends TargetModel {
  private static final int OK_STATUS = 200;

  private final long workMicros;
  private final Set<Run> worked = new HashSet<>();

  CounterModel(VirtualTime time, TargetDescription description, int queued, long workMicros) {
    super(time, description, queued);
    this.workMicros = workMicros;
  }

  @Override
  void work() {
    for (Run run : running()) {
      if (worked.add(run)) {
        time().after(workMicros, () -> finish(run));
      }
    }
  }

  private void finish(Run run) {
    worked.remove(run);
    if (runs().remove(run)) {
      run.client.head(OK_STATUS, false, false);
      run.client.ended();
    }
    work();
  }
}
