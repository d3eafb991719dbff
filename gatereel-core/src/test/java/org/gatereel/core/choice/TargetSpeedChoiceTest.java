package org.gatereel.core.choice;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import org.gatereel.core.document.HostDirectory;
import org.gatereel.core.estimate.FirstEventEstimates;
import org.gatereel.core.estimate.RequestSize;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.load.LoadExchange;
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
import org.gatereel.core.target.TargetRegistry;
import org.gatereel.core.target.TargetState;
import org.junit.jupiter.api.Test;

class TargetSpeedChoiceTest {
  private static final ServiceName SERVICE = new ServiceName("service");
  private static final Address SELF = new Address("10.0.9.9", 7_200);
  private static final int REQUESTS = 1_000;

  private final CoreContext context =
      new CoreContext(new HostId("h1"), new DataCentre("north"), new SplittableRandom(1));
  private final TargetRegistry targets = new TargetRegistry(context, new PolicyTable());
  private final TargetSelector selector =
      new TargetSelector(
          context,
          targets,
          new LoadExchange(
              context,
              targets,
              new HostDirectory(context, SELF),
              SELF,
              (to, report, receipt) -> {}),
          new HostCount() {
            @Override
            public int allHosts() {
              return 1;
            }

            @Override
            public int localHosts() {
              return 1;
            }
          },
          target -> false);

  /** Lists a target of each relative time, named by its index. */
  private void list(TargetKind kind, double... relativeTimes) {
    context.advanceTo(1_000_000);
    List<TargetDescription> listed = new ArrayList<>();
    for (int index = 0; index < relativeTimes.length; index++) {
      listed.add(
          new TargetDescription(
              new TargetId("t" + index),
              kind,
              SERVICE,
              new DataCentre("north"),
              new Address("10.0.0." + index, 80),
              64,
              LifeState.LIVE));
    }
    targets.applyList(new HostList(1, List.of(), listed));
    selector.setEstimates(
        new FirstEventEstimates() {
          @Override
          public OptionalDouble expectedMillis(TargetState target, RequestSize size) {
            return OptionalDouble.empty();
          }

          @Override
          public OptionalDouble unloadedMillis(ServiceName service, RequestSize size) {
            return OptionalDouble.empty();
          }

          @Override
          public double relativeTime(TargetState target) {
            String id = target.description().id().toString();
            return relativeTimes[id.charAt(1) - '0'];
          }
        });
  }

  private TargetState choose() {
    TargetQuery query = new TargetQuery(SERVICE, Optional.empty(), Integer.MAX_VALUE);
    return selector.choose(query, Set.of()).orElseThrow().target();
  }

  /** Guards against slow engines that get as many requests as fast ones, and against a herd. */
  @Test
  void openRequestsOfEnginesSpreadInProportionToSpeed() {
    list(TargetKind.ENGINE, 1.6, 1, 0.625);
    for (int request = 0; request < 425; request++) {
      targets.recordOpened(choose());
    }

    List<Integer> open = targets.all().stream().map(TargetState::localOpenRequests).toList();
    assertEquals(82, open.get(0), 5, open.toString());
    assertEquals(132, open.get(1), 5, open.toString());
    assertEquals(211, open.get(2), 5, open.toString());
  }

  /** Guards against hosts that all send their calls to the fastest plain target. */
  @Test
  void callsOfIdlePlainTargetsAreDrawnInProportionToSpeed() {
    list(TargetKind.PLAIN_SERVICE, 2, 1, 1);
    Map<TargetId, Integer> calls = new HashMap<>();
    for (int request = 0; request < REQUESTS; request++) {
      calls.merge(choose().description().id(), 1, Integer::sum);
    }

    int slow = calls.get(new TargetId("t0"));
    assertTrue(slow > 0.12 * REQUESTS && slow < 0.25 * REQUESTS, calls.toString());
    assertTrue(calls.get(new TargetId("t1")) < 0.5 * REQUESTS, calls.toString());
    assertTrue(calls.get(new TargetId("t2")) < 0.5 * REQUESTS, calls.toString());
  }
}
