package org.gatereel.core.statement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.TargetId;
import org.junit.jupiter.api.Test;

class TargetFactsTest {
  private static final TargetId TARGET = new TargetId("t1", 7);

  private final Set<TargetId> listed = new HashSet<>(Set.of(TARGET));
  private final CoreContext context =
      new CoreContext(new HostId("h1"), new DataCentre("north"), new SplittableRandom(1));
  private final TargetFacts facts = new TargetFacts(context, listed::contains);
  private final List<TargetFact> news = new ArrayList<>();

  TargetFactsTest() {
    context.advanceTo(1_000_000);
    facts.onNews(news::add);
  }

  private void pass(long millis) {
    context.advanceTo(context.now() + millis);
    context.timers().runDue(context.now());
  }

  @Test
  void factsOfDifferentKindsStandBesideEachOther() {
    facts.hear(new LeavingFact(TARGET, context.now()));
    facts.hear(new RestFact(TARGET, context.now(), context.now() + 1_000));
    facts.hear(new LimitFact(TARGET, new AnnouncedLimit(5, context.now())));

    assertEquals(3, news.size());
    for (FactKind kind : FactKind.values()) {
      assertTrue(facts.find(kind, TARGET).isPresent(), kind.name());
    }
  }

  @Test
  void leavingIsNewsOnceWhoeverTellsItAgain() {
    facts.hear(new LeavingFact(TARGET, context.now()));
    pass(500);
    facts.hear(new LeavingFact(TARGET, context.now()));
    facts.merge(List.of(new LeavingFact(TARGET, context.now() - 900)));

    assertEquals(1, news.size());
    assertEquals(1, facts.after(0, 10).size());
  }

  @Test
  void theLaterEndOfTwoRestsHoldsInAnyOrder() {
    facts.merge(List.of(new RestFact(TARGET, context.now(), context.now() + 3_000)));
    facts.merge(List.of(new RestFact(TARGET, context.now(), context.now() + 1_000)));

    RestFact rest = (RestFact) facts.find(FactKind.REST, TARGET).orElseThrow();

    assertEquals(context.now() + 3_000, rest.until());
  }

  /** A store that comes back from an older copy, or an entry that lapsed, names the run again. */
  @Test
  void thatARunLeavesIsRememberedForLongAfterItsEntryHasGone() {
    facts.hear(new LeavingFact(TARGET, context.now()));
    listed.clear();

    pass(300_000);
    assertTrue(facts.find(FactKind.LEAVING, TARGET).isPresent());
    pass(300_000);
    pass(60_001);

    assertEquals(Optional.empty(), facts.find(FactKind.LEAVING, TARGET));
    assertEquals(List.of(), facts.after(0, 10));
  }

  @Test
  void whatNoKindCanHaveMakesNoFact() {
    assertEquals(Optional.empty(), FactKind.LIMIT.make(TARGET, OptionalDouble.of(-1), 0));
    assertEquals(Optional.empty(), FactKind.REST.make(TARGET, OptionalDouble.empty(), 0));
    RestFact longest =
        (RestFact) FactKind.REST.make(TARGET, OptionalDouble.of(1e12), 50).orElseThrow();
    assertEquals(50 + StatementReader.LONGEST_REST_MILLIS, longest.until());
  }
}
