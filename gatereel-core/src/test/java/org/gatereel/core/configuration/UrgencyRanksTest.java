package org.gatereel.core.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.scheduling.Urgency;
import org.junit.jupiter.api.Test;

class UrgencyRanksTest {
  private static final ServiceName ENGINES = new ServiceName("engines");
  private static final AccountId FIRST = new AccountId("first");
  private static final AccountId LATER = new AccountId("later");

  private static Route route(int priority) {
    return new Route(
        "r" + priority,
        "x.example",
        "/r" + priority + "/",
        RouteKind.STREAM,
        true,
        false,
        25_000,
        4_000,
        5,
        priority,
        700,
        List.of(new Route.WeightedService(ENGINES, 1)));
  }

  /** An account's priority that is ignored, or that hides the order of its routes. */
  @Test
  void thePriorityOfTheAccountGoesBeforeThatOfTheRoute() {
    UrgencyRanks ranks =
        new UrgencyRanks(
            List.of(route(0), route(2)),
            List.of(
                new AccountConfiguration(FIRST, Set.of("k1"), 0),
                new AccountConfiguration(LATER, Set.of("k2"), 3)));

    assertEquals(new Urgency(1, 4), ranks.urgency(ENGINES, route(2), Optional.of(FIRST)));
    assertEquals(new Urgency(2, 4), ranks.urgency(ENGINES, route(0), Optional.of(LATER)));
    assertEquals(9, ranks.urgency(ENGINES, route(2), Optional.of(LATER)).engineUrgency());
  }

  /** Requests of services without any difference in priority that are treated otherwise. */
  @Test
  void aServiceWhoseRoutesHaveOnePriorityIsNotRanked() {
    UrgencyRanks ranks = new UrgencyRanks(List.of(route(1)), List.of());

    assertEquals(Urgency.UNRANKED, ranks.urgency(ENGINES, route(1), Optional.empty()));
  }
}
