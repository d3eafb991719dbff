package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.gatereel.core.configuration.RouteKind;
import org.gatereel.core.document.DocumentFreshness;
import org.gatereel.core.document.DocumentKind;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.forward.ForwardWorld.Caller;
import org.gatereel.core.internal.GossipFacts;
import org.gatereel.core.model.HostList;
import org.gatereel.core.poison.PoisonFact;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against requests that are decided by documents which a pause has made outdated. */
class RequestGateTest {
  private static final long BOUND_MILLIS = 2_000;
  private static final long PAUSE_MILLIS = 2_600;
  private static final long SHORT_PAUSE_MILLIS = 900;

  private final ForwardWorld world = new ForwardWorld();
  private final DocumentFreshness freshness = new DocumentFreshness(world.context, BOUND_MILLIS);
  private final RequestGate gate = new RequestGate(world.context, freshness, world.forwarder);
  private final Caller caller = new Caller();
  private long listedAt = world.context.now();

  @BeforeEach
  void track() {
    freshness.track(DocumentKind.CONFIGURATION, world.configurationHolder::ageIfKnown);
    freshness.track(DocumentKind.TARGETS, () -> OptionalLong.of(world.context.now() - listedAt));
    freshness.setRefresh(() -> {}, 1_200);
    world.forwarder.setFreshness(freshness);
  }

  private void pause() {
    world.context.advanceTo(world.context.now() + PAUSE_MILLIS);
  }

  /** A pause that the host notices, beside a store that does not answer for a while. */
  private void recordedPause() {
    pause();
    world.context.recordDelay(PAUSE_MILLIS);
  }

  private void confirmTargets() {
    listedAt = world.context.now();
    freshness.onConfirmed();
  }

  private void confirmConfiguration(long version) {
    world.configurationHolder.update(
        ForwardWorld.configuration(version).build(), world.context.now());
    freshness.onConfirmed();
  }

  @Test
  void requestAfterAPauseIsDecidedByTheNextConfiguration() {
    pause();
    Optional<AcceptedRequest> accepted = gate.accept(world.request("/new/x"), caller);
    assertTrue(accepted.isPresent());
    assertFalse(caller.isFinal());

    world.configurationHolder.update(
        ForwardWorld.configuration(2)
            .add(ForwardWorld.route("/new/", RouteKind.REPEATABLE, ForwardWorld.COUNTERS, 2))
            .build(),
        world.context.now());
    confirmTargets();

    assertEquals(1, world.sentCalls.size());
    assertEquals(0, gate.heldCount());
  }

  @Test
  void requestAfterAPauseIsNotSentToATargetThatHasLeft() {
    pause();
    gate.accept(world.request("/safe/x"), caller);
    confirmConfiguration(1);
    assertEquals(List.of(), world.sentCalls);

    world.targets.applyList(
        new HostList(
            100, List.of(), List.of(ForwardWorld.target("c3", ForwardWorld.COUNTERS, "west"))));
    confirmTargets();

    assertEquals("c3", world.lastCall().target());
  }

  @Test
  void heldRequestKeepsItsDeadline() {
    pause();
    gate.accept(world.request("/safe/x"), caller);
    world.advanceTime(400);
    confirmConfiguration(1);
    confirmTargets();

    assertEquals(ForwardWorld.TIMEOUT_MILLIS - 400, world.lastCall().dispatch.remainingMillis());
  }

  @Test
  void heldRequestOfACallerThatLeftIsNotSent() {
    pause();
    gate.accept(world.request("/safe/x"), caller).orElseThrow().onCallerDisconnected();
    confirmConfiguration(1);
    confirmTargets();

    assertEquals(List.of(), world.sentCalls);
    assertEquals(0, gate.heldCount());
  }

  @Test
  void heldRequestIsRejectedAtTheEndOfAShutdown() {
    pause();
    gate.accept(world.request("/safe/x"), caller);
    world.forwarder.beginShutdown(world.context.now(), world.context.now() + 100);
    gate.releaseAll();

    assertEquals(Rejection.STOPPING, caller.rejection);
    assertEquals(0, gate.heldCount());
  }

  @Test
  void requestAfterAPauseIsRefusedWhileTheConfigurationIsAwaited() {
    recordedPause();
    gate.accept(world.request("/safe/x"), caller);
    world.advanceTime(500);

    assertEquals(List.of(), world.sentCalls);
    assertEquals(Rejection.STALE_CONFIGURATION, caller.rejection);
    assertTrue(caller.retryAfterMillis > 0);
    assertEquals(0, gate.heldCount());
  }

  @Test
  void requestAfterAPauseIsRefusedWhileTheListOfTargetsIsAwaited() {
    recordedPause();
    gate.accept(world.request("/safe/x"), caller);
    confirmConfiguration(1);
    world.advanceTime(500);

    assertEquals(List.of(), world.sentCalls);
    assertEquals(503, caller.rejection.status());
    assertTrue(caller.retryAfterMillis > 0);
  }

  /** Its execution cannot be ruled out, so that a refusal would be a false promise. */
  @Test
  void requestThatMayHaveExecutedWaitsForTheListOfTargetsAfterAPause() {
    gate.accept(world.request("/safe/x"), caller);
    world.lastCall().accept();
    recordedPause();
    world.lastCall().listener.onFailure(TargetFailure.RESET);
    world.advanceTime(600);
    assertFalse(caller.isFinal());
    assertEquals(1, world.sentCalls.size());

    confirmTargets();
    assertEquals(2, world.sentCalls.size());
  }

  @Test
  void requestThatMayHaveExecutedEndsAtItsDeadlineAfterAPause() {
    freshness.setOpenReads(kind -> true);
    gate.accept(world.request("/safe/x"), caller);
    world.lastCall().accept();
    world.advanceTime(ForwardWorld.TIMEOUT_MILLIS - PAUSE_MILLIS - 1_000);
    confirmTargets();
    recordedPause();
    world.lastCall().listener.onFailure(TargetFailure.RESET);
    world.advanceTime(1_000);

    assertEquals(1, world.sentCalls.size());
    assertEquals(Rejection.TIMED_OUT, caller.rejection);
  }

  /** A pause after which all documents are recent enough. */
  private void shortPause() {
    world.context.advanceTo(world.context.now() + SHORT_PAUSE_MILLIS);
    world.context.recordDelay(SHORT_PAUSE_MILLIS);
  }

  /** The report of another host is read after the request, and before a connection stands. */
  @Test
  void requestThatOtherHostsHoldBackIsWithdrawnAfterAPause() {
    world.requestContent = "fatal";
    List<PoisonFact> facts = factsAboutAQuarantinedRequest("fatal");
    shortPause();
    gate.accept(world.request("/stream/x"), caller);
    world.poison.merge(facts);

    assertTrue(world.lastCall().cancelled);
    assertEquals(Rejection.HELD_BACK, caller.rejection);
  }

  private static List<PoisonFact> factsAboutAQuarantinedRequest(String content) {
    ForwardWorld other = new ForwardWorld();
    other.requestContent = content;
    other.submit("/stream/x", new Caller());
    for (int end = 0; end < 3; end++) {
      other.lastCall().accept().respondHead(200, true);
      other.fail(other.lastCall(), TargetFailure.RESET);
      other.lastProbe().listener().onResult(ProbeResult.GONE);
    }
    assertEquals(1, other.poison.quarantinedCount());
    return other.poison.after(0, 100).stream().map(GossipFacts.Numbered::fact).toList();
  }
}
