package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.forward.ForwardWorld.Caller;
import org.gatereel.core.forward.ForwardWorld.SentCall;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.poison.Fingerprint;
import org.gatereel.core.poison.PoisonFact;
import org.gatereel.core.poison.RequestFeatures;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Detection and quarantine of requests under which targets exit. */
class PoisonForwardingTest {
  private static final int TARGETS = 40;
  private static final int PART_ENDS = 4;

  /**
   * Short enough not to count as a stall; three pauses exceed the time in which a target exit
   * counts.
   */
  private static final long SHORT_PAUSE_MILLIS = 180;

  private final ForwardWorld world = new ForwardWorld();
  private Caller caller = new Caller();

  @BeforeEach
  void listTargets() {
    List<TargetDescription> targets = new ArrayList<>();
    for (int number = 0; number < TARGETS; number++) {
      targets.add(target("e" + number, ForwardWorld.ENGINES, number));
      targets.add(target("c" + number, ForwardWorld.COUNTERS, number));
    }
    world.list(targets.toArray(TargetDescription[]::new));
  }

  private static TargetDescription target(String id, ServiceName service, int number) {
    String[] dataCentres = {"north", "south", "west"};
    return ForwardWorld.target(id, service, dataCentres[number % dataCentres.length]);
  }

  private SentCall submit(String path, String content) {
    caller = new Caller();
    world.requestContent = content;
    world.submit(path, caller);
    return world.sentCalls.isEmpty() ? null : world.lastCall();
  }

  /** Resets the connection to a target; a probe, if one is sent, has the given result. */
  private void resetConnection(SentCall call, ProbeResult result) {
    int before = world.probes.size();
    world.fail(call, TargetFailure.RESET);
    if (world.probes.size() > before) {
      world.lastProbe().listener().onResult(result);
    }
  }

  private void endTarget(SentCall call) {
    resetConnection(call.accept().respondHead(200, true), ProbeResult.GONE);
  }

  /** Lets a stream end as many targets as its quarantine needs. */
  private void quarantine(String content) {
    endTarget(submit("/stream/x", content));
    endTarget(world.lastCall());
    endTarget(world.lastCall());
  }

  private int countSentFor(String path, String content) {
    int before = world.sentCalls.size();
    submit(path, content);
    return world.sentCalls.size() - before;
  }

  @Test
  void requestIsNotRetriedAfterThirdTargetExit() {
    quarantine("fatal");

    assertEquals(3, world.sentCalls.size());
    assertEquals(Rejection.TARGET_FAILED, caller.rejection);
  }

  @Test
  void quarantinedRequestIsRejectedWithoutExecution() {
    quarantine("fatal");

    assertEquals(0, countSentFor("/stream/x", "fatal"));
    assertEquals(Rejection.HELD_BACK, caller.rejection);
    assertTrue(Rejection.HELD_BACK.allowsRetry());
    assertEquals(60_000, Rejection.HELD_BACK.retryAfterMillis(700));
  }

  @Test
  void otherRequestsAreNotQuarantined() {
    quarantine("fatal");

    assertEquals(1, countSentFor("/stream/x", "sound"));
    assertEquals(1, countSentFor("/stream/y", "fatal"));
  }

  @Test
  void targetExitsAreCountedAcrossRequestsOfCaller() {
    for (int submission = 0; submission < 3; submission++) {
      SentCall call = submit("/once/x", "fatal").accept();
      resetConnection(call, ProbeResult.GONE);
      assertEquals(Rejection.TARGET_FAILED, caller.rejection);
    }

    assertEquals(0, countSentFor("/once/x", "fatal"));
    assertEquals(Rejection.HELD_BACK, caller.rejection);
  }

  @Test
  void repeatablePlainRequestIsQuarantined() {
    endTargetOfPlainRequest(submit("/safe/x", "fatal"));
    endTargetOfPlainRequest(world.lastCall());
    endTargetOfPlainRequest(submit("/safe/x", "fatal"));

    assertEquals(3, world.sentCalls.size());
    assertEquals(0, countSentFor("/safe/x", "fatal"));
  }

  private void endTargetOfPlainRequest(SentCall call) {
    resetConnection(call.accept(), ProbeResult.GONE);
  }

  @Test
  void failedConnectionOfLiveTargetDoesNotCount() {
    resetConnection(submit("/stream/x", "sound").accept(), ProbeResult.ALIVE);
    resetConnection(world.lastCall().accept(), ProbeResult.ALIVE);
    resetConnection(world.lastCall().accept(), ProbeResult.ALIVE);

    assertEquals(4, world.sentCalls.size());
    assertEquals(1, countSentFor("/stream/x", "sound"));
  }

  /** The connection of an exiting process closes normally. */
  @Test
  void targetGoneAfterResponseWithoutLengthCounts() {
    SentCall call = submit("/once/x", "fatal").accept().respondHead(200, false);
    call.listener.onEnd(ResponseEnd.CONNECTION_CLOSED);
    int probes = world.probes.size();
    world.lastProbe().listener().onResult(ProbeResult.GONE);

    assertEquals(1, world.poison.suspectedCount());
    assertEquals(probes, world.probes.size());
  }

  @Test
  void failureToConnectDoesNotCount() {
    submit("/stream/x", "sound");
    for (int failure = 0; failure < 10; failure++) {
      world.fail(world.lastCall(), TargetFailure.NOT_CONNECTED);
    }

    assertEquals(0, world.poison.suspectedCount());
    assertEquals(1, countSentFor("/stream/x", "sound"));
  }

  @Test
  void targetExitAfterLongExecutionDoesNotCount() {
    SentCall call = submit("/stream/x", "sound");
    long last = 0;
    for (int end = 0; end < 4; end++) {
      call = world.lastCall().accept().respondHead(200, true);
      for (int event = 0; event < 3; event++) {
        call.event(++last);
        world.advanceTime(SHORT_PAUSE_MILLIS);
      }
      resetConnection(call, ProbeResult.GONE);
    }

    assertEquals(0, world.poison.suspectedCount());
    assertFalse(caller.isFinal());
  }

  @Test
  void longExecutionClearsRequest() {
    endTarget(submit("/stream/x", "sound"));
    endTarget(world.lastCall());
    assertEquals(1, world.poison.suspectedCount());
    SentCall third = world.lastCall().accept().respondHead(200, true).event(1);
    for (long id = 2; id <= 9; id++) {
      world.advanceTime(150);
      third.event(id);
    }

    assertEquals(0, world.poison.suspectedCount());
    resetConnection(third, ProbeResult.GONE);
    endTarget(world.lastCall());
    assertFalse(caller.isFinal());
    assertEquals(0, world.poison.quarantinedCount());
  }

  @Test
  void suspectedRequestIsRetriedOnlyAfterProbeResult() {
    endTarget(submit("/stream/x", "fatal"));
    endTarget(world.lastCall());
    world.fail(world.lastCall().accept().respondHead(200, true), TargetFailure.RESET);
    assertEquals(3, world.sentCalls.size());

    world.lastProbe().listener().onResult(ProbeResult.GONE);

    assertEquals(3, world.sentCalls.size());
    assertEquals(Rejection.TARGET_FAILED, caller.rejection);
  }

  @Test
  void suspectedRequestIsRetriedWhenTargetIsAlive() {
    endTarget(submit("/stream/x", "sound"));
    endTarget(world.lastCall());
    world.fail(world.lastCall().accept(), TargetFailure.RESET);
    world.lastProbe().listener().onResult(ProbeResult.ALIVE);

    assertEquals(4, world.sentCalls.size());
  }

  @Test
  void suspectedRequestWaitsForOneProbeOnly() {
    endTarget(submit("/stream/x", "sound"));
    endTarget(world.lastCall());
    world.fail(world.lastCall().accept(), TargetFailure.RESET);
    world.lastProbe().listener().onResult(ProbeResult.UNKNOWN);

    assertEquals(4, world.sentCalls.size());
  }

  @Test
  void silentTargetFoundGoneByLaterProbeCounts() {
    world.fail(submit("/stream/x", "fatal").accept(), TargetFailure.TIMEOUT);
    world.lastProbe().listener().onResult(ProbeResult.UNKNOWN);
    int probes = world.probes.size();
    world.advanceTime(200);
    assertEquals(probes + 1, world.probes.size());
    world.lastProbe().listener().onResult(ProbeResult.GONE);

    assertEquals(1, world.poison.suspectedCount());
  }

  /** Guards against attempts that stay at targets after the request is quarantined. */
  @Test
  void quarantineCancelsSentAttemptsWithoutResponse() {
    Caller other = new Caller();
    world.requestContent = "fatal";
    world.submit("/stream/x", other);
    SentCall waiting = world.lastCall().accept();

    quarantine("fatal");

    assertTrue(waiting.cancelled);
    assertEquals(Rejection.TARGET_FAILED, other.rejection);
  }

  @Test
  void quarantineRejectsUnsentRequestAsNotExecuted() {
    Caller other = new Caller();
    world.requestContent = "fatal";
    world.submit("/stream/x", other);

    quarantine("fatal");

    assertTrue(world.sentCalls.get(0).cancelled);
    assertEquals(Rejection.HELD_BACK, other.rejection);
  }

  @Test
  void executionInProgressMayClearQuarantinedRequest() {
    Caller other = new Caller();
    world.requestContent = "same";
    world.submit("/stream/x", other);
    SentCall running = world.lastCall().accept().respondHead(200, true).event(1);
    quarantine("same");
    assertFalse(other.isFinal());
    for (long id = 2; id <= 9; id++) {
      world.advanceTime(150);
      running.event(id);
    }

    assertEquals(0, world.poison.quarantinedCount());
    assertEquals(1, countSentFor("/stream/x", "same"));
  }

  private SentCall submitWithPrompt(String prompt) {
    world.promptPart = Optional.of(prompt);
    return submit("/stream/x", "");
  }

  /** Guards against a verdict on sound requests with different prompts that nothing can refute. */
  @Test
  void oldestExecutionWithAQuarantinedFeatureMayClearIt() {
    SentCall oldest = submitWithPrompt("oldest").accept();
    SentCall later = submitWithPrompt("later").accept();
    for (int crash = 0; crash < PART_ENDS; crash++) {
      endTarget(submitWithPrompt("crashed-" + crash));
    }
    assertEquals(1, world.poison.quarantinedCount());
    assertFalse(oldest.cancelled);
    assertTrue(later.cancelled);

    oldest.respondHead(200, true);
    for (long id = 1; id <= 9; id++) {
      world.advanceTime(150);
      oldest.event(id);
    }

    assertEquals(0, world.poison.quarantinedCount());
    assertFalse(submitWithPrompt("next").cancelled);
  }

  /** Guards against more crashes after a verdict than one at the host that observed the last. */
  @Test
  void executionsWithAFeatureThatOtherHostsQuarantinedAreCancelled() {
    SentCall open = submitWithPrompt("open").accept();
    HashCode content = world.request("/stream/x").contentDigest();
    Fingerprint anyPrompt =
        RequestFeatures.of(Optional.of(new AccountId("a1")), () -> content, "x", List.of())
            .parts()
            .get(0);
    List<PoisonFact> facts = new ArrayList<>();
    for (int end = 0; end < PART_ENDS; end++) {
      long at = world.context.now() + end;
      facts.add(PoisonFact.end(anyPrompt, new TargetId("ended-" + end), at, at));
    }

    world.poison.merge(facts);

    assertEquals(1, world.poison.quarantinedCount());
    assertTrue(open.cancelled);
  }

  /**
   * All streams of an exited target move at once; only the one that causes the exits is
   * quarantined.
   */
  @Test
  void otherRequestsAtExitedTargetsAreNotQuarantined() {
    Caller otherCaller = new Caller();
    endTarget(submit("/stream/x", "fatal"));
    SentCall fatal = world.lastCall();
    world.requestContent = "sound";
    world.submit("/stream/x", otherCaller);
    SentCall sound = world.lastCall();
    TargetId shared = fatal.dispatch.target().id();
    endTarget(fatal);
    world.poison.merge(
        List.of(
            PoisonFact.end(
                fingerprint("sound"), shared, world.context.now(), world.context.now())));
    fatal = world.lastCall();
    TargetId third = fatal.dispatch.target().id();
    endTarget(fatal);
    world.poison.merge(
        List.of(
            PoisonFact.end(fingerprint("sound"), third, world.context.now(), world.context.now())));

    assertEquals(1, world.poison.quarantinedCount());
    assertFalse(sound.cancelled);
    assertFalse(otherCaller.isFinal());
  }

  private Fingerprint fingerprint(String content) {
    return Fingerprint.of(
        Optional.of(new AccountId("a1")),
        Hashing.sha256().hashString("/stream/x" + content, StandardCharsets.UTF_8),
        "");
  }

  /** Reports of other hosts count before this host has sent the request. */
  @Test
  void targetExitsReportedByOtherHostsCount() {
    long now = world.context.now();
    world.poison.merge(
        List.of(
            PoisonFact.end(fingerprint("fatal"), new TargetId("a"), now, now),
            PoisonFact.end(fingerprint("fatal"), new TargetId("b"), now, now),
            PoisonFact.end(fingerprint("fatal"), new TargetId("c"), now, now)));

    assertEquals(0, countSentFor("/stream/x", "fatal"));
    assertEquals(Rejection.HELD_BACK, caller.rejection);
  }
}
