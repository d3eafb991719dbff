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

/** Which request the ends of targets are charged to. */
class PoisonLedgerTest {
  private static final Fingerprint FATAL = new Fingerprint("fatal");
  private static final Fingerprint SOUND = new Fingerprint("sound");
  private static final long HOUR = 3_600_000;

  private final PoisonLedger ledger = new PoisonLedger();

  /** Ends of targets are a second apart, in the order of their names. */
  private static PoisonFact end(Fingerprint request, String target) {
    long at = 1_000L * target.hashCode();
    return PoisonFact.end(request, new TargetId(target), at - 300, at);
  }

  private List<Fingerprint> ended(Fingerprint request, String... targets) {
    List<Fingerprint> held = new ArrayList<>();
    for (String target : targets) {
      ledger.add(end(request, target));
      held.addAll(ledger.judge());
    }
    return held;
  }

  @Test
  void theThirdEndHoldsARequestBack() {
    assertEquals(List.of(), ended(FATAL, "a", "b"));
    assertEquals(List.of(FATAL), ended(FATAL, "c"));
    assertTrue(ledger.isHeld(FATAL));
  }

  @Test
  void anEndThatSeveralHostsTellOfCountsOnce() {
    assertEquals(List.of(), ended(FATAL, "a", "b", "a", "b", "a"));
  }

  /** A call that many make alike was at three targets of a data centre that lost power. */
  @Test
  void endsThatCameTogetherCountAsOne() {
    for (int number = 0; number < 8; number++) {
      ledger.add(
          PoisonFact.end(SOUND, new TargetId("t" + number), 900 + number, 1_000 + 40 * number));
    }

    assertEquals(List.of(), ledger.judge());
  }

  @Test
  void endsThatFollowEachOtherCountHoweverFast() {
    for (int number = 0; number < 3; number++) {
      ledger.add(
          PoisonFact.end(
              FATAL, new TargetId("t" + number), 1_000 + 5 * number, 1_004 + 5 * number));
    }

    assertEquals(List.of(FATAL), ledger.judge());
  }

  @Test
  void endsApartCountThoughTheirRunsWereSentTogether() {
    for (int number = 0; number < 3; number++) {
      ledger.add(PoisonFact.end(FATAL, new TargetId("t" + number), 1_000, 2_000 + 600 * number));
    }

    assertEquals(List.of(FATAL), ledger.judge());
  }

  @Test
  void theNextRunUnderANameIsAnotherTarget() {
    for (long born = 1; born <= 3; born++) {
      ledger.add(PoisonFact.end(FATAL, new TargetId("a", born), 900 * born, 1_000 * born));
    }

    assertEquals(List.of(FATAL), ledger.judge());
  }

  /** Streams move from a target that ends to the same next one as the request that ended it. */
  @Test
  void aRequestThatWasWithTheOneAtFewerEndsIsNotHeldBack() {
    ended(FATAL, "a");
    for (String target : List.of("b", "c", "d")) {
      ledger.add(end(FATAL, target));
      ledger.add(end(SOUND, target));
      ledger.judge();
    }

    assertTrue(ledger.isHeld(FATAL));
    assertFalse(ledger.isHeld(SOUND));
  }

  @Test
  void ofTwoThatWereAlwaysTogetherNoneIsHeldBackUntilTheyPart() {
    for (String target : List.of("a", "b", "c", "d")) {
      ledger.add(end(FATAL, target));
      ledger.add(end(SOUND, target));
    }
    assertEquals(List.of(), ledger.judge());

    assertEquals(List.of(FATAL), ended(FATAL, "e"));
    assertEquals(List.of(), ended(SOUND, "a", "b", "c", "d"));
  }

  @Test
  void endsThatAHeldRequestExplainsCountAgainstNobodyElse() {
    ended(FATAL, "a", "b", "c");
    ended(FATAL, "d", "e");

    assertEquals(List.of(), ended(SOUND, "d", "e", "f", "g"));
    assertEquals(List.of(SOUND), ended(SOUND, "h"));
  }

  @Test
  void twoRequestsOfWhichEachEndsTargetsAreBothHeldBack() {
    Fingerprint other = new Fingerprint("other");
    ended(FATAL, "a", "both");
    ended(other, "b", "both");
    ended(FATAL, "c", "d");
    ended(other, "e", "f");

    assertTrue(ledger.isHeld(FATAL));
    assertTrue(ledger.isHeld(other));
  }

  @Test
  void aRunThatLastedOutweighsAllEnds() {
    ended(SOUND, "a", "b", "c");
    ledger.add(PoisonFact.sound(SOUND, 2_000));

    assertFalse(ledger.isHeld(SOUND));
    assertEquals(List.of(), ended(SOUND, "d", "e", "f"));
  }

  @Test
  void whatIsHeldBackIsRememberedForADayAndSuspicionForAnHour() {
    ended(FATAL, "a", "b", "c");
    ended(SOUND, "d", "e");

    ledger.expire(2 * HOUR + 200_000);
    assertEquals(0, ledger.ends(SOUND));
    assertTrue(ledger.isHeld(FATAL));

    ledger.expire(25 * HOUR + 200_000);
    assertTrue(ledger.isEmpty());
  }

  @Test
  void theTableIsBoundedAndWhatIsHeldBackGoesLast() {
    ended(FATAL, "a", "b", "c");
    for (int number = 0; number < 3_000; number++) {
      ledger.add(
          PoisonFact.end(
              new Fingerprint("r" + number), new TargetId("t" + number), 1_900_000, 2_000_000));
    }

    assertTrue(ledger.isHeld(FATAL));
    assertEquals(1_000, ledger.held() + ledger.suspected());
    assertEquals(1_002, ledger.after(0, 5_000).size());
  }

  @Test
  void aReaderIsToldEachFactOnceInTheirOrder() {
    ended(FATAL, "a", "b", "c");
    List<GossipFacts.Numbered<PoisonFact>> first = ledger.after(0, 2);

    assertEquals(2, first.size());
    assertEquals(
        List.of(end(FATAL, "c")),
        ledger.after(first.get(1).number(), 10).stream().map(GossipFacts.Numbered::fact).toList());
  }

  /** Facts come in any order, by several ways; who knows the same holds the same back. */
  @Property(tries = 200, seed = "20261203")
  void theOrderOfFactsDoesNotMatterToAHostThatLearnsThemTogether(@ForAll long seed) {
    Random random = new Random(seed);
    List<PoisonFact> facts = new ArrayList<>();
    for (int number = 0; number < 24; number++) {
      Fingerprint request = new Fingerprint("r" + random.nextInt(5));
      facts.add(end(request, "t" + random.nextInt(10)));
    }
    List<Fingerprint> held = held(facts);

    Collections.shuffle(facts, random);

    assertEquals(held, held(facts));
  }

  private static List<Fingerprint> held(List<PoisonFact> facts) {
    PoisonLedger fresh = new PoisonLedger();
    facts.forEach(fresh::add);
    return fresh.judge().stream().map(Fingerprint::value).sorted().map(Fingerprint::new).toList();
  }
}
