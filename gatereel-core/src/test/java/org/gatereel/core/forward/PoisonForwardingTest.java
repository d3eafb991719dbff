package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** By which doors a request under which targets end could reach more of them. */
class PoisonForwardingTest {
  private static final int TARGETS = 40;

  /** Three of them are longer than a run that breaks as it begins; one is no silence. */
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

  private SentCall ask(String path, String content) {
    caller = new Caller();
    world.requestContent = content;
    world.submit(path, caller);
    return world.sentCalls.isEmpty() ? null : world.lastCall();
  }

  /** The connection to a target breaks, and what a probe then shows is this. */
  private void breaks(SentCall call, ProbeResult result) {
    int before = world.probes.size();
    world.fail(call, TargetFailure.RESET);
    if (world.probes.size() > before) {
      world.lastProbe().listener().onResult(result);
    }
  }

  private void endsTarget(SentCall call) {
    breaks(call.accept().respondHead(200, true), ProbeResult.GONE);
  }

  /** Has a stream end as many targets as its caller needs for the verdict. */
  private void convict(String content) {
    endsTarget(ask("/stream/x", content));
    endsTarget(world.lastCall());
    endsTarget(world.lastCall());
  }

  private int sentFor(String path, String content) {
    int before = world.sentCalls.size();
    ask(path, content);
    return world.sentCalls.size() - before;
  }

  @Test
  void afterTheThirdEndTheRequestIsTriedNoMore() {
    convict("fatal");

    assertEquals(3, world.sentCalls.size());
    assertEquals(Rejection.TARGET_FAILED, caller.rejection);
  }

  @Test
  void whenItComesAgainItIsRefusedAtOnceAndTrulyNotRun() {
    convict("fatal");

    assertEquals(0, sentFor("/stream/x", "fatal"));
    assertEquals(Rejection.HELD_BACK, caller.rejection);
    assertTrue(Rejection.HELD_BACK.allowsRetry());
    assertEquals(60_000, Rejection.HELD_BACK.retryAfterMillis(700));
  }

  @Test
  void otherRequestsAreSent() {
    convict("fatal");

    assertEquals(1, sentFor("/stream/x", "sound"));
    assertEquals(1, sentFor("/stream/y", "fatal"));
  }

  @Test
  void endsOfSeveralTriesOfItsCallerAddUp() {
    for (int again = 0; again < 3; again++) {
      SentCall call = ask("/once/x", "fatal").accept();
      breaks(call, ProbeResult.GONE);
      assertEquals(Rejection.TARGET_FAILED, caller.rejection);
    }

    assertEquals(0, sentFor("/once/x", "fatal"));
    assertEquals(Rejection.HELD_BACK, caller.rejection);
  }

  @Test
  void aRepeatablePlainCallIsHeldBackAsWell() {
    endsPlain(ask("/safe/x", "fatal"));
    endsPlain(world.lastCall());
    endsPlain(ask("/safe/x", "fatal"));

    assertEquals(3, world.sentCalls.size());
    assertEquals(0, sentFor("/safe/x", "fatal"));
  }

  private void endsPlain(SentCall call) {
    breaks(call.accept(), ProbeResult.GONE);
  }

  @Test
  void aTargetThatLivesAfterItsConnectionBrokeDoesNotCount() {
    breaks(ask("/stream/x", "sound").accept(), ProbeResult.ALIVE);
    breaks(world.lastCall().accept(), ProbeResult.ALIVE);
    breaks(world.lastCall().accept(), ProbeResult.ALIVE);

    assertEquals(4, world.sentCalls.size());
    assertEquals(1, sentFor("/stream/x", "sound"));
  }

  /** Its connection closed in order, as that of a process that ends does. */
  @Test
  void aTargetThatIsGoneAfterItsAnswerWithoutALengthHasEnded() {
    SentCall call = ask("/once/x", "fatal").accept().respondHead(200, false);
    call.listener.onEnd(ResponseEnd.CONNECTION_CLOSED);
    int probes = world.probes.size();
    world.lastProbe().listener().onResult(ProbeResult.GONE);

    assertEquals(1, world.poison.suspected());
    assertEquals(probes, world.probes.size());
  }

  @Test
  void aConnectionThatDoesNotComeAboutDoesNotCount() {
    ask("/stream/x", "sound");
    for (int failure = 0; failure < 10; failure++) {
      world.fail(world.lastCall(), TargetFailure.NOT_CONNECTED);
    }

    assertEquals(0, world.poison.suspected());
    assertEquals(1, sentFor("/stream/x", "sound"));
  }

  @Test
  void aRunThatHadLastedWhenItsTargetEndedDoesNotCount() {
    SentCall call = ask("/stream/x", "sound");
    long last = 0;
    for (int end = 0; end < 4; end++) {
      call = world.lastCall().accept().respondHead(200, true);
      for (int event = 0; event < 3; event++) {
        call.event(++last);
        world.advanceTime(SHORT_PAUSE_MILLIS);
      }
      breaks(call, ProbeResult.GONE);
    }

    assertEquals(0, world.poison.suspected());
    assertFalse(caller.isFinal());
  }

  @Test
  void aRunThatLastsClearsItsRequest() {
    endsTarget(ask("/stream/x", "sound"));
    endsTarget(world.lastCall());
    assertEquals(1, world.poison.suspected());
    SentCall third = world.lastCall().accept().respondHead(200, true).event(1);
    for (long id = 2; id <= 9; id++) {
      world.advanceTime(150);
      third.event(id);
    }

    assertEquals(0, world.poison.suspected());
    breaks(third, ProbeResult.GONE);
    endsTarget(world.lastCall());
    assertFalse(caller.isFinal());
    assertEquals(0, world.poison.held());
  }

  @Test
  void theThirdEndIsWaitedForBeforeAnotherTargetIsTried() {
    endsTarget(ask("/stream/x", "fatal"));
    endsTarget(world.lastCall());
    world.fail(world.lastCall().accept().respondHead(200, true), TargetFailure.RESET);
    assertEquals(3, world.sentCalls.size());

    world.lastProbe().listener().onResult(ProbeResult.GONE);

    assertEquals(3, world.sentCalls.size());
    assertEquals(Rejection.TARGET_FAILED, caller.rejection);
  }

  @Test
  void aRequestInDoubtGoesOnWhenTheProbeShowsThatTheTargetLives() {
    endsTarget(ask("/stream/x", "sound"));
    endsTarget(world.lastCall());
    world.fail(world.lastCall().accept(), TargetFailure.RESET);
    world.lastProbe().listener().onResult(ProbeResult.ALIVE);

    assertEquals(4, world.sentCalls.size());
  }

  @Test
  void aRequestInDoubtWaitsForOneProbeAlone() {
    endsTarget(ask("/stream/x", "sound"));
    endsTarget(world.lastCall());
    world.fail(world.lastCall().accept(), TargetFailure.RESET);
    world.lastProbe().listener().onResult(ProbeResult.UNKNOWN);

    assertEquals(4, world.sentCalls.size());
  }

  @Test
  void aSilentTargetThatIsAnotherRunLaterHadEnded() {
    world.fail(ask("/stream/x", "fatal").accept(), TargetFailure.TIMEOUT);
    world.lastProbe().listener().onResult(ProbeResult.UNKNOWN);
    int probes = world.probes.size();
    world.advanceTime(200);
    assertEquals(probes + 1, world.probes.size());
    world.lastProbe().listener().onResult(ProbeResult.GONE);

    assertEquals(1, world.poison.suspected());
  }

  /** Tries that have been sent, but of which nothing has come, are called back by the verdict. */
  @Test
  void whatWaitsAtATargetWhenTheVerdictFallsIsCalledBack() {
    Caller other = new Caller();
    world.requestContent = "fatal";
    world.submit("/stream/x", other);
    SentCall waiting = world.lastCall().accept();

    convict("fatal");

    assertTrue(waiting.cancelled);
    assertEquals(Rejection.TARGET_FAILED, other.rejection);
  }

  @Test
  void whatWaitsForAConnectionIsRefusedAsNotRun() {
    Caller other = new Caller();
    world.requestContent = "fatal";
    world.submit("/stream/x", other);

    convict("fatal");

    assertTrue(world.sentCalls.get(0).cancelled);
    assertEquals(Rejection.HELD_BACK, other.rejection);
  }

  @Test
  void aRunThatGoesOnWhenTheVerdictFallsMayClearItsRequest() {
    Caller other = new Caller();
    world.requestContent = "same";
    world.submit("/stream/x", other);
    SentCall running = world.lastCall().accept().respondHead(200, true).event(1);
    convict("same");
    assertFalse(other.isFinal());
    for (long id = 2; id <= 9; id++) {
      world.advanceTime(150);
      running.event(id);
    }

    assertEquals(0, world.poison.held());
    assertEquals(1, sentFor("/stream/x", "same"));
  }

  /** All streams of a target that ends move on in the same moment, the cause among them. */
  @Test
  void whoIsAtTheSameTargetsIsNotHeldBack() {
    Caller fellow = new Caller();
    endsTarget(ask("/stream/x", "fatal"));
    SentCall fatal = world.lastCall();
    world.requestContent = "sound";
    world.submit("/stream/x", fellow);
    SentCall sound = world.lastCall();
    TargetId shared = fatal.dispatch.target().id();
    endsTarget(fatal);
    world.poison.learn(
        List.of(
            PoisonFact.end(
                fingerprint("sound"), shared, world.context.now(), world.context.now())));
    fatal = world.lastCall();
    TargetId third = fatal.dispatch.target().id();
    endsTarget(fatal);
    world.poison.learn(
        List.of(
            PoisonFact.end(fingerprint("sound"), third, world.context.now(), world.context.now())));

    assertEquals(1, world.poison.held());
    assertFalse(sound.cancelled);
    assertFalse(fellow.isFinal());
  }

  private Fingerprint fingerprint(String content) {
    return Fingerprint.of(
        Optional.of(new AccountId("a1")),
        Hashing.sha256().hashString("/stream/x" + content, StandardCharsets.UTF_8));
  }

  /** What other hosts have seen counts here, before this host has sent the request once. */
  @Test
  void whatOthersSawHoldsTheRequestBackHere() {
    long now = world.context.now();
    world.poison.learn(
        List.of(
            PoisonFact.end(fingerprint("fatal"), new TargetId("a"), now, now),
            PoisonFact.end(fingerprint("fatal"), new TargetId("b"), now, now),
            PoisonFact.end(fingerprint("fatal"), new TargetId("c"), now, now)));

    assertEquals(0, sentFor("/stream/x", "fatal"));
    assertEquals(Rejection.HELD_BACK, caller.rejection);
  }
}
