package org.gatereel.forward.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.gatereel.core.load.DemandKey;
import org.gatereel.core.load.LoadReport;
import org.gatereel.core.load.LoadScope;
import org.gatereel.core.load.TargetLoad;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.poison.Fingerprint;
import org.gatereel.core.poison.PoisonFact;
import org.gatereel.core.rollout.EvidenceKey;
import org.gatereel.core.rollout.ResponseTally;
import org.gatereel.core.rollout.Signal;
import org.gatereel.core.statement.AnnouncedLimit;
import org.gatereel.core.statement.BackoffFact;
import org.gatereel.core.statement.LeavingFact;
import org.gatereel.core.statement.LimitFact;
import org.gatereel.core.statement.TargetFact;
import org.junit.jupiter.api.Test;

class LoadMessagesTest {
  private static final long SENT_AT = 5_000;
  private static final long RECEIVED_AT = 900_000;

  private static final ServiceName ENGINES = new ServiceName("engines");

  private static LoadReport report(OptionalLong builtOn, Map<TargetId, TargetLoad> loads) {
    return new LoadReport(
        new HostId("h1"),
        new Address("10.0.1.1", 7_215),
        LoadScope.EVERYONE_ELSE,
        -5,
        17,
        builtOn,
        loads,
        Map.of(
            DemandKey.allOf(ENGINES),
            12.5,
            new DemandKey(ENGINES, 1, Optional.of(new AccountId("a1"))),
            0.25,
            new DemandKey(ENGINES, 0, Optional.empty()),
            3.0));
  }

  @Test
  void readsWhatWasWrittenWithTimesOnTheReadersClock() {
    LoadReport sent =
        report(
            OptionalLong.of(16),
            Map.of(new TargetId("e1"), new TargetLoad(3, 1, 2, 0, SENT_AT - 40)));
    LoadReport expected =
        report(
            OptionalLong.of(16),
            Map.of(new TargetId("e1"), new TargetLoad(3, 1, 2, 0, RECEIVED_AT - 40)));

    assertEquals(
        Optional.of(expected), LoadMessages.read(LoadMessages.write(sent, SENT_AT), RECEIVED_AT));
  }

  @Test
  void readsAFullReportWithoutFailures() {
    LoadReport sent =
        report(
            OptionalLong.empty(),
            Map.of(new TargetId("e1"), new TargetLoad(0, 0, 0, 0, TargetLoad.NEVER)));

    assertEquals(
        Optional.of(sent), LoadMessages.read(LoadMessages.write(sent, SENT_AT), RECEIVED_AT));
  }

  @Test
  void rejectsMalformedReports() {
    for (String json :
        new String[] {
          "",
          "{}",
          "[]",
          "null",
          "{\"sender\":\"h1\",\"loads\":null}",
          "{\"sender\":\"h1\",\"ip\":\"1\",\"port\":1,\"scope\":\"NOBODY\",\"loads\":[]}",
          "{\"sender\":null,\"ip\":\"1\",\"port\":1,\"scope\":\"HOST\",\"loads\":[]}",
          "{\"sender\":\"h1\",\"ip\":\"1\",\"port\":1,\"scope\":\"HOST\",\"loads\":[null]}"
        }) {
      assertEquals(
          Optional.empty(),
          LoadMessages.read(json.getBytes(StandardCharsets.UTF_8), RECEIVED_AT),
          json);
    }
  }

  /** Checks the size per target that {@code LoadLink} assumes for its limit on traffic. */
  @Property(tries = 50, seed = "20261202")
  void usesAtMost32BytesPerTarget(@ForAll @IntRange(min = 1, max = 500) int targets) {
    Map<TargetId, TargetLoad> loads = new HashMap<>();
    for (int index = 0; index < targets; index++) {
      loads.put(new TargetId(String.format("i-%010x", index)), new TargetLoad(3, 1, 2, 0, SENT_AT));
    }
    int bytes = LoadMessages.write(report(OptionalLong.of(1), loads), SENT_AT + 10).length;

    assertTrue(bytes <= 220 + 32 * targets, "bytes: " + bytes);
  }

  @Test
  void readsRolloutEvidenceAsWritten() {
    LoadReport minimal = report(OptionalLong.of(16), Map.of());
    LoadReport sent =
        new LoadReport(
            minimal.sender(),
            minimal.replyTo(),
            minimal.scope(),
            minimal.session(),
            minimal.sequence(),
            minimal.baseSequence(),
            minimal.loads(),
            minimal.demand(),
            Map.of(
                new EvidenceKey(ENGINES, 7, "r", Signal.FIRST_EVENT, true),
                new ResponseTally(5, 1, 4, 12.25)),
            List.of(),
            List.of());

    assertEquals(
        Optional.of(sent), LoadMessages.read(LoadMessages.write(sent, SENT_AT), RECEIVED_AT));
    String json = new String(LoadMessages.write(minimal, SENT_AT), StandardCharsets.UTF_8);
    assertTrue(!json.contains("evidence"), json);
  }

  @Test
  void readsPoisonFactsWithTimesOnTheReadersClock() {
    Fingerprint request = new Fingerprint("00112233445566778899aabbccddeeff");
    LoadReport minimal = report(OptionalLong.of(16), Map.of());
    LoadReport sent =
        new LoadReport(
            minimal.sender(),
            minimal.replyTo(),
            minimal.scope(),
            minimal.session(),
            minimal.sequence(),
            minimal.baseSequence(),
            minimal.loads(),
            minimal.demand(),
            Map.of(),
            List.of(
                PoisonFact.end(
                    request,
                    new TargetId("i-9a102b0d4e", 1_790_000_000_000L),
                    SENT_AT - 1_080,
                    SENT_AT),
                PoisonFact.clearing(request, SENT_AT - 3_000)),
            List.of());
    byte[] json = LoadMessages.write(sent, SENT_AT);

    LoadReport read = LoadMessages.read(json, RECEIVED_AT).orElseThrow();

    assertEquals(
        List.of(
            PoisonFact.end(
                request,
                new TargetId("i-9a102b0d4e", 1_790_000_000_000L),
                RECEIVED_AT - 1_080,
                RECEIVED_AT),
            PoisonFact.clearing(request, RECEIVED_AT - 3_000)),
        read.poison());
    int bytes = json.length - LoadMessages.write(minimal, SENT_AT).length;
    assertTrue(bytes <= 2 * 90, "bytes: " + bytes);
  }

  @Test
  void readsAnnouncedLimitsWithTimesOnTheReadersClock() {
    TargetId firstTarget = new TargetId("i-9a102b0d4e", 1_790_000_000_000L);
    TargetId secondTarget = new TargetId("i-7f3a91c2aa");
    LoadReport minimal = report(OptionalLong.of(16), Map.of());
    LoadReport sent =
        new LoadReport(
            minimal.sender(),
            minimal.replyTo(),
            minimal.scope(),
            minimal.session(),
            minimal.sequence(),
            minimal.baseSequence(),
            minimal.loads(),
            minimal.demand(),
            Map.of(),
            List.of(),
            List.of(
                new LimitFact(firstTarget, new AnnouncedLimit(5.4, SENT_AT - 900)),
                new LimitFact(
                    secondTarget, new AnnouncedLimit(Double.POSITIVE_INFINITY, SENT_AT - 40))));
    byte[] json = LoadMessages.write(sent, SENT_AT);

    LoadReport read = LoadMessages.read(json, RECEIVED_AT).orElseThrow();

    assertEquals(
        List.of(
            new LimitFact(firstTarget, new AnnouncedLimit(5.4, RECEIVED_AT - 900)),
            new LimitFact(
                secondTarget, new AnnouncedLimit(Double.POSITIVE_INFINITY, RECEIVED_AT - 40))),
        read.targetFacts());
    int bytes = json.length - LoadMessages.write(minimal, SENT_AT).length;
    assertTrue(bytes <= 2 * 50, "bytes: " + bytes);
  }

  @Test
  void keepsTheStartTimesOfTargets() {
    Map<TargetId, TargetLoad> loads = new HashMap<>();
    for (TargetId target :
        new TargetId[] {
          new TargetId("e1"),
          new TargetId("e1", 1_790_000_000_000L),
          new TargetId("a@b"),
          new TargetId("a@b", 4)
        }) {
      loads.put(target, new TargetLoad(1, 0, 0, 0, TargetLoad.NEVER));
    }
    LoadReport sent = report(OptionalLong.empty(), loads);

    assertEquals(
        Optional.of(sent), LoadMessages.read(LoadMessages.write(sent, SENT_AT), RECEIVED_AT));
  }

  @Test
  void readsDrainAndBackoffFactsWithTimesOnTheReadersClock() {
    TargetId target = new TargetId("i-1", 7);
    LoadReport minimal = report(OptionalLong.of(16), Map.of());
    byte[] json =
        LoadMessages.write(
            withFacts(
                minimal,
                new LeavingFact(target, SENT_AT - 300),
                new BackoffFact(target, SENT_AT - 200, SENT_AT + 2_800)),
            SENT_AT);

    assertEquals(
        List.of(
            new LeavingFact(target, RECEIVED_AT - 300),
            new BackoffFact(target, RECEIVED_AT - 200, RECEIVED_AT + 2_800)),
        LoadMessages.read(json, RECEIVED_AT).orElseThrow().targetFacts());
  }

  /** During an upgrade, hosts of two versions exchange reports. */
  @Test
  void ignoresUnknownFieldsAndKindsOfLaterVersions() {
    TargetId target = new TargetId("i-1", 7);
    LoadReport minimal = report(OptionalLong.of(16), Map.of());
    String json =
        new String(
            LoadMessages.write(withFacts(minimal, new LeavingFact(target, SENT_AT - 300)), SENT_AT),
            StandardCharsets.UTF_8);
    String laterVersion =
        json.replace("[[\"LEAVING\"", "[[\"MOOD\",\"i-2\",4.5,10,\"more\"],[\"LEAVING\"")
            .replace("{\"sender\"", "{\"news\":{\"a\":1},\"sender\"");
    assertTrue(laterVersion.length() > json.length() + 30, laterVersion);

    LoadReport read =
        LoadMessages.read(laterVersion.getBytes(StandardCharsets.UTF_8), RECEIVED_AT).orElseThrow();

    assertEquals(List.of(new LeavingFact(target, RECEIVED_AT - 300)), read.targetFacts());
  }

  private static LoadReport withFacts(LoadReport minimal, TargetFact... facts) {
    return new LoadReport(
        minimal.sender(),
        minimal.replyTo(),
        minimal.scope(),
        minimal.session(),
        minimal.sequence(),
        minimal.baseSequence(),
        minimal.loads(),
        minimal.demand(),
        Map.of(),
        List.of(),
        List.of(facts));
  }
}
