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
  private final List<TargetFact> changes = new ArrayList<>();

  TargetFactsTest() {
    context.advanceTo(1_000_000);
    facts.onChange(changes::add);
  }

  private void advance(long millis) {
    context.advanceTo(context.now() + millis);
    context.timers().runDue(context.now());
  }

  @Test
  void factsOfDifferentKindsAreIndependent() {
    facts.observe(new LeavingFact(TARGET, context.now()));
    facts.observe(new BackoffFact(TARGET, context.now(), context.now() + 1_000));
    facts.observe(new LimitFact(TARGET, new AnnouncedLimit(5, context.now())));

    assertEquals(3, changes.size());
    for (FactKind kind : FactKind.values()) {
      assertTrue(facts.find(kind, TARGET).isPresent(), kind.name());
    }
  }

  @Test
  void leavingIsAChangeOnlyOnce() {
    facts.observe(new LeavingFact(TARGET, context.now()));
    advance(500);
    facts.observe(new LeavingFact(TARGET, context.now()));
    facts.merge(List.of(new LeavingFact(TARGET, context.now() - 900)));

    assertEquals(1, changes.size());
    assertEquals(1, facts.after(0, 10).size());
  }

  @Test
  void laterEndOfTwoBackoffsApplies() {
    facts.merge(List.of(new BackoffFact(TARGET, context.now(), context.now() + 3_000)));
    facts.merge(List.of(new BackoffFact(TARGET, context.now(), context.now() + 1_000)));

    BackoffFact backoff = (BackoffFact) facts.find(FactKind.REST, TARGET).orElseThrow();

    assertEquals(context.now() + 3_000, backoff.until());
  }

  /** An outdated or restored target list may name the incarnation again. */
  @Test
  void leavingFactIsRetainedAfterTheIncarnationIsUnlisted() {
    facts.observe(new LeavingFact(TARGET, context.now()));
    listed.clear();

    advance(300_000);
    assertTrue(facts.find(FactKind.LEAVING, TARGET).isPresent());
    advance(300_000);
    advance(60_001);

    assertEquals(Optional.empty(), facts.find(FactKind.LEAVING, TARGET));
    assertEquals(List.of(), facts.after(0, 10));
  }

  @Test
  void invalidValuesCreateNoFact() {
    assertEquals(Optional.empty(), FactKind.LIMIT.create(TARGET, OptionalDouble.of(-1), 0));
    assertEquals(Optional.empty(), FactKind.REST.create(TARGET, OptionalDouble.empty(), 0));
    BackoffFact longest =
        (BackoffFact) FactKind.REST.create(TARGET, OptionalDouble.of(1e12), 50).orElseThrow();
    assertEquals(50 + AnnouncementParser.MAX_BACKOFF_MILLIS, longest.until());
  }
}
