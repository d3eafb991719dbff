package org.gatereel.core.poison;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.gatereel.core.internal.GossipFacts;
import org.gatereel.core.model.TargetId;
import org.junit.jupiter.api.Test;

/** To which requests ends of targets are attributed, and which are quarantined. */
class PoisonLedgerTest {
  private static final Fingerprint POISON = new Fingerprint("fatal");
  private static final Fingerprint HARMLESS = new Fingerprint("sound");
  private static final long HOUR = 3_600_000;

  private final PoisonLedger ledger = new PoisonLedger();

  /** Makes an end; targets end in the order of their names, seconds apart. */
  private static PoisonFact end(Fingerprint request, String target) {
    long at = 1_000L * target.hashCode();
    return PoisonFact.end(request, new TargetId(target), at - 300, at);
  }

  private List<Fingerprint> quarantinedAfterEnds(Fingerprint request, String... targets) {
    List<Fingerprint> quarantined = new ArrayList<>();
    for (String target : targets) {
      ledger.add(end(request, target));
      quarantined.addAll(ledger.quarantineDue());
    }
    return quarantined;
  }

  @Test
  void aRequestIsQuarantinedAfterThreeEnds() {
    assertEquals(List.of(), quarantinedAfterEnds(POISON, "a", "b"));
    assertEquals(List.of(POISON), quarantinedAfterEnds(POISON, "c"));
    assertTrue(ledger.isQuarantined(POISON));
  }

  @Test
  void anEndReportedSeveralTimesCountsOnce() {
    assertEquals(List.of(), quarantinedAfterEnds(POISON, "a", "b", "a", "b", "a"));
  }

  /** Guards against quarantine of a frequent call after a power failure of its targets. */
  @Test
  void simultaneousEndsCountOnce() {
    for (int number = 0; number < 8; number++) {
      ledger.add(
          PoisonFact.end(HARMLESS, new TargetId("t" + number), 900 + number, 1_000 + 40 * number));
    }

    assertEquals(List.of(), ledger.quarantineDue());
  }

  @Test
  void endsInSequenceCountSeparatelyHoweverShortTheInterval() {
    for (int number = 0; number < 3; number++) {
      ledger.add(
          PoisonFact.end(
              POISON, new TargetId("t" + number), 1_000 + 5 * number, 1_004 + 5 * number));
    }

    assertEquals(List.of(POISON), ledger.quarantineDue());
  }

  @Test
  void endsAtDifferentTimesCountSeparatelyAfterSimultaneousSends() {
    for (int number = 0; number < 3; number++) {
      ledger.add(PoisonFact.end(POISON, new TargetId("t" + number), 1_000, 2_000 + 600 * number));
    }

    assertEquals(List.of(POISON), ledger.quarantineDue());
  }

  @Test
  void endsOfDifferentIncarnationsCountSeparately() {
    for (long incarnation = 1; incarnation <= 3; incarnation++) {
      ledger.add(
          PoisonFact.end(
              POISON, new TargetId("a", incarnation), 900 * incarnation, 1_000 * incarnation));
    }

    assertEquals(List.of(POISON), ledger.quarantineDue());
  }

  /** Guards against quarantine of streams that follow a poison request to its next targets. */
  @Test
  void endsSharedWithARequestThatHasMoreAreNotAttributed() {
    quarantinedAfterEnds(POISON, "a");
    for (String target : List.of("b", "c", "d")) {
      ledger.add(end(POISON, target));
      ledger.add(end(HARMLESS, target));
      ledger.quarantineDue();
    }

    assertTrue(ledger.isQuarantined(POISON));
    assertFalse(ledger.isQuarantined(HARMLESS));
  }

  @Test
  void ofTwoRequestsWithTheSameEndsNoneIsQuarantinedUntilTheyDiffer() {
    for (String target : List.of("a", "b", "c", "d")) {
      ledger.add(end(POISON, target));
      ledger.add(end(HARMLESS, target));
    }
    assertEquals(List.of(), ledger.quarantineDue());

    assertEquals(List.of(POISON), quarantinedAfterEnds(POISON, "e"));
    assertEquals(List.of(), quarantinedAfterEnds(HARMLESS, "a", "b", "c", "d"));
  }

  @Test
  void endsOfAQuarantinedRequestAreNotAttributedToOthers() {
    quarantinedAfterEnds(POISON, "a", "b", "c");
    quarantinedAfterEnds(POISON, "d", "e");

    assertEquals(List.of(), quarantinedAfterEnds(HARMLESS, "d", "e", "f", "g"));
    assertEquals(List.of(HARMLESS), quarantinedAfterEnds(HARMLESS, "h"));
  }

  @Test
  void twoPoisonRequestsAreBothQuarantined() {
    Fingerprint other = new Fingerprint("other");
    quarantinedAfterEnds(POISON, "a", "both");
    quarantinedAfterEnds(other, "b", "both");
    quarantinedAfterEnds(POISON, "c", "d");
    quarantinedAfterEnds(other, "e", "f");

    assertTrue(ledger.isQuarantined(POISON));
    assertTrue(ledger.isQuarantined(other));
  }

  @Test
  void aSuccessfulExecutionOutweighsAllEnds() {
    quarantinedAfterEnds(HARMLESS, "a", "b", "c");
    ledger.add(PoisonFact.clearing(HARMLESS, 2_000));

    assertFalse(ledger.isQuarantined(HARMLESS));
    assertEquals(List.of(), quarantinedAfterEnds(HARMLESS, "d", "e", "f"));
  }

  @Test
  void quarantineExpiresAfterADayAndSuspicionAfterAnHour() {
    quarantinedAfterEnds(POISON, "a", "b", "c");
    quarantinedAfterEnds(HARMLESS, "d", "e");

    ledger.expire(2 * HOUR + 200_000);
    assertEquals(0, ledger.endCount(HARMLESS));
    assertTrue(ledger.isQuarantined(POISON));

    ledger.expire(25 * HOUR + 200_000);
    assertTrue(ledger.isEmpty());
  }

  @Test
  void theNumberOfCasesIsBoundedAndQuarantinedOnesAreEvictedLast() {
    quarantinedAfterEnds(POISON, "a", "b", "c");
    for (int number = 0; number < 3_000; number++) {
      ledger.add(
          PoisonFact.end(
              new Fingerprint("r" + number), new TargetId("t" + number), 1_900_000, 2_000_000));
    }

    assertTrue(ledger.isQuarantined(POISON));
    assertEquals(1_000, ledger.quarantinedCount() + ledger.suspectedCount());
    assertEquals(1_002, ledger.after(0, 5_000).size());
  }

  @Test
  void factsAreReturnedOnceInTheirOrder() {
    quarantinedAfterEnds(POISON, "a", "b", "c");
    List<GossipFacts.Numbered<PoisonFact>> first = ledger.after(0, 2);

    assertEquals(2, first.size());
    assertEquals(
        List.of(end(POISON, "c")),
        ledger.after(first.get(1).number(), 10).stream().map(GossipFacts.Numbered::fact).toList());
  }

  /** Hosts receive facts in different orders and must come to the same result. */
  @Property(tries = 200, seed = "20261203")
  void theOrderOfFactsThatAreMergedTogetherDoesNotMatter(@ForAll long seed) {
    Random random = new Random(seed);
    List<PoisonFact> facts = new ArrayList<>();
    for (int number = 0; number < 24; number++) {
      Fingerprint request = new Fingerprint("r" + random.nextInt(5));
      facts.add(end(request, "t" + random.nextInt(10)));
    }
    List<Fingerprint> quarantined = quarantineDue(facts);

    Collections.shuffle(facts, random);

    assertEquals(quarantined, quarantineDue(facts));
  }

  private static List<Fingerprint> quarantineDue(List<PoisonFact> facts) {
    PoisonLedger newLedger = new PoisonLedger();
    facts.forEach(newLedger::add);
    return newLedger.quarantineDue().stream()
        .map(Fingerprint::value)
        .sorted()
        .map(Fingerprint::new)
        .toList();
  }
}
