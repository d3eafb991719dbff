package org.gatereel.core.target;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.HostList;
import org.gatereel.core.model.LifeState;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.model.TargetKind;
import org.gatereel.core.table.PolicyTable;
import org.junit.jupiter.api.Test;

class TargetListChangesTest {
  private final CoreContext context =
      new CoreContext(new HostId("h"), new DataCentre("north"), new SplittableRandom(1));
  private final TargetRegistry targets = new TargetRegistry(context, new PolicyTable());
  private long version;

  private static TargetDescription target(int number, LifeState state) {
    return new TargetDescription(
        new TargetId("e" + number),
        TargetKind.ENGINE,
        new ServiceName("s"),
        new DataCentre("north"),
        new Address("10.0.0." + number, 80),
        6,
        state);
  }

  private List<String> logLinesFor(TargetDescription... listed) {
    targets.applyList(new HostList(++version, List.of(), List.of(listed)));
    return context.takeActions().stream()
        .filter(Action.LogEvent.class::isInstance)
        .map(Action.LogEvent.class::cast)
        .filter(note -> note.code() == EventCode.TARGETS_CHANGED)
        .map(Action.LogEvent::detail)
        .toList();
  }

  @Test
  void logsAllChangesOfAListAsOneLine() {
    logLinesFor(target(1, LifeState.LIVE), target(2, LifeState.LIVE), target(3, LifeState.LIVE));

    assertEquals(
        List.of("known=3 came=1:e4 leaving=1:e2 gone=1:e1"),
        logLinesFor(
            target(2, LifeState.LEAVING), target(3, LifeState.LIVE), target(4, LifeState.LIVE)));
  }

  @Test
  void logsNothingForAnUnchangedList() {
    logLinesFor(target(1, LifeState.LIVE));

    assertEquals(List.of(), logLinesFor(target(1, LifeState.LIVE)));
  }

  @Test
  void limitsLoggedIdsButLogsTheirFullNumber() {
    TargetDescription[] many =
        IntStream.range(0, 200)
            .mapToObj(number -> target(number, LifeState.LIVE))
            .toArray(TargetDescription[]::new);

    String line = logLinesFor(many).get(0);

    assertTrue(line.contains("came=200:e0,e1,") && line.endsWith(",..."), line);
    assertTrue(line.length() < 200, line);
  }

  @Test
  void logsNothingForATargetAlreadyKnownToLeave() {
    logLinesFor(target(1, LifeState.LIVE));
    targets.recordLeaving(new TargetId("e1"));
    context.takeActions();

    assertEquals(List.of(), logLinesFor(target(1, LifeState.LEAVING)));
  }
}
