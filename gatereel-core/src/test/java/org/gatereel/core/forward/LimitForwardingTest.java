package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.gatereel.core.document.HostDirectory;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.forward.ForwardWorld.Caller;
import org.gatereel.core.forward.ForwardWorld.SentCall;
import org.gatereel.core.forward.ForwardWorld.TokenQuery;
import org.gatereel.core.limit.TokenGrant;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.statement.Announcement;
import org.gatereel.core.statement.Announcements;
import org.junit.jupiter.api.Test;

/** Requests for rate-limited targets: waiting for, receiving and being denied tokens. */
class LimitForwardingTest {
  private static final int HOSTS = 60;
  private static final TokenGrant ONE = new TokenGrant(1, 0);
  private static final TokenGrant DENIED = new TokenGrant(0, 5_000);
  private static final String[] COUNTERS = {"c1", "c2", "c3"};
  private static final String[] ENGINES = {"e1", "e2", "e3"};

  private final ForwardWorld world = new ForwardWorld();
  private final Caller caller = new Caller();
  private Exchange exchange;

  LimitForwardingTest() {
    List<HostDirectory.Entry> entries = new ArrayList<>();
    String[] dataCentres = {"north", "south", "west"};
    for (int number = 0; number < HOSTS; number++) {
      DataCentre dataCentre = new DataCentre(dataCentres[number % dataCentres.length]);
      entries.add(
          new HostDirectory.Entry(
              "peer" + number, dataCentre, new Address("10.0.2." + number, 7), 0));
    }
    for (int reading = 0; reading < 3; reading++) {
      world.directory.update(entries, 0);
    }
  }

  private void limit(double perSecond, String... targets) {
    for (String target : targets) {
      world.forwarder.limits().announced().observe(new TargetId(target), perSecond, 0);
    }
  }

  private void submit(String path) {
    exchange = world.submit(path, caller).orElseThrow();
  }

  private TokenQuery tokenRequest() {
    return world.tokenRequests.get(world.tokenRequests.size() - 1);
  }

  private String requestedTarget() {
    return tokenRequest().requested().limit().target().value();
  }

  private void respondWith(TokenGrant loan) {
    tokenRequest().response().accept(Optional.of(loan));
  }

  @Test
  void unlimitedTargetNeedsNoToken() {
    submit("/safe/x");

    assertEquals(1, world.sentCalls.size());
    assertTrue(world.tokenRequests.isEmpty());
  }

  @Test
  void limitedTargetReceivesRequestOnlyWithToken() {
    limit(5, COUNTERS);
    submit("/safe/x");
    assertTrue(world.sentCalls.isEmpty());
    String requested = requestedTarget();

    respondWith(ONE);

    assertEquals(requested, world.lastCall().target());
    world.lastCall().respond(200, "whole");
    assertEquals("whole", caller.body.toString());
  }

  @Test
  void limitInResponseAppliesFromNextRequest() {
    submit("/safe/x");
    String target = world.lastCall().target();
    SentCall call = world.lastCall().accept();
    call.listener.onHead(
        new ForwardWorld.Head(
            200, false, true, false, Announcements.NONE.withLimit(Announcement.number(0.5))));
    call.listener.onEnd(ResponseEnd.LAST_CHUNK);
    assertEquals(0.5, world.forwarder.limits().announced().perSecond(new TargetId(target)));

    world.list(ForwardWorld.target(target, ForwardWorld.COUNTERS, "north"));
    submit("/safe/x");

    assertEquals(1, world.sentCalls.size());
  }

  @Test
  void rejectionByTargetCanAnnounceLimit() {
    submit("/safe/x");
    SentCall call = world.lastCall().accept();

    call.listener.onHead(
        new ForwardWorld.Head(
            503, true, false, false, Announcements.NONE.withLimit(Announcement.number(0.5))));

    assertEquals(0.5, world.forwarder.limits().announced().perSecond(new TargetId(call.target())));
  }

  /** A response without the marker of the target may come from another process. */
  @Test
  void unauthenticResponseDoesNotRemoveLimit() {
    limit(5, COUNTERS);
    world.advanceTime(10);
    submit("/safe/x");
    String target = requestedTarget();
    respondWith(ONE);

    world
        .lastCall()
        .accept()
        .listener
        .onHead(new ForwardWorld.Head(500, false, false, false, Announcements.NONE));

    assertEquals(5, world.forwarder.limits().announced().perSecond(new TargetId(target)));
  }

  @Test
  void targetWithoutTokenIsSkipped() {
    limit(5, "c1");
    List<String> targets = new ArrayList<>();
    for (int request = 0; request < 20; request++) {
      int requestsBefore = world.tokenRequests.size();
      world.submit("/safe/x", new Caller());
      if (world.tokenRequests.size() > requestsBefore) {
        respondWith(DENIED);
      }
      targets.add(world.lastCall().target());
    }

    assertEquals(20, world.sentCalls.size());
    assertFalse(targets.contains("c1"));
    assertEquals(1, world.tokenRequests.size(), "no second token request before the denial ends");
  }

  @Test
  void requestIsRejectedBeforeDeadlineWhenNoTargetHasToken() {
    limit(5, COUNTERS);
    submit("/safe/x");
    while (world.tokenRequests.size() < COUNTERS.length) {
      respondWith(DENIED);
    }
    respondWith(DENIED);
    assertNull(caller.rejection, "a token may still arrive");

    world.advanceTime(101);

    assertEquals(Rejection.OVERLOADED, caller.rejection);
    assertTrue(world.sentCalls.isEmpty());
  }

  @Test
  void tokenArrivingDuringWaitIsUsed() {
    limit(5, COUNTERS);
    submit("/safe/x");
    while (world.tokenRequests.size() < COUNTERS.length) {
      respondWith(new TokenGrant(0, 20));
    }
    respondWith(new TokenGrant(0, 20));

    world.advanceTime(70);
    respondWith(ONE);

    assertEquals(1, world.sentCalls.size());
  }

  @Test
  void tokenOfDisconnectedCallerIsUsedForNextRequest() {
    limit(5, COUNTERS);
    submit("/safe/x");
    String target = requestedTarget();
    exchange.onCallerDisconnected();

    respondWith(ONE);

    assertTrue(world.sentCalls.isEmpty());
    world.list(ForwardWorld.target(target, ForwardWorld.COUNTERS, "north"));
    int requestsBefore = world.tokenRequests.size();
    submit("/safe/x");
    assertEquals(requestsBefore, world.tokenRequests.size());
    assertEquals(target, world.lastCall().target());
  }

  @Test
  void unusedTokenExpires() {
    limit(5, COUNTERS);
    submit("/safe/x");
    String target = requestedTarget();
    exchange.onCallerDisconnected();
    respondWith(ONE);

    world.advanceTime(501);
    world.list(ForwardWorld.target(target, ForwardWorld.COUNTERS, "north"));
    submit("/safe/x");

    assertTrue(world.sentCalls.isEmpty());
  }

  @Test
  void requestFailsAtDeadlineWhenIssuerDoesNotRespond() {
    limit(5, COUNTERS);
    submit("/safe/x");

    world.advanceTime(ForwardWorld.TIMEOUT_MILLIS);

    assertEquals(Rejection.NOT_STARTED_IN_TIME, caller.rejection);
    respondWith(ONE);
    assertTrue(world.sentCalls.isEmpty());
  }

  @Test
  void shutdownRejectsRequestWaitingForTokenAsNotExecuted() {
    limit(5, COUNTERS);
    submit("/safe/x");

    world.forwarder.stopAll();

    assertEquals(Rejection.STOPPING, caller.rejection);
    respondWith(ONE);
    assertTrue(world.sentCalls.isEmpty());
  }

  @Test
  void targetLeavingDuringWaitReceivesNothing() {
    limit(5, "c1");
    world.list(
        ForwardWorld.target("c1", ForwardWorld.COUNTERS, "north"),
        ForwardWorld.target("c2", ForwardWorld.COUNTERS, "south"));
    while (world.tokenRequests.isEmpty()) {
      submit("/safe/x");
    }
    int before = world.sentCalls.size();
    world.advanceTime(5);
    world.targets.recordLeaving(new TargetId("c1"));

    respondWith(ONE);

    assertEquals(before + 1, world.sentCalls.size());
    assertEquals("c2", world.lastCall().target());
  }

  @Test
  void nextIssuersAreQueriedBeforeTargetIsSkipped() {
    limit(5, "c1");
    while (world.tokenRequests.isEmpty()) {
      world.submit("/safe/x", new Caller());
    }
    int before = world.sentCalls.size();
    Address first = tokenRequest().issuer();

    tokenRequest().response().accept(Optional.empty());
    Address second = tokenRequest().issuer();
    assertFalse(first.equals(second));
    assertEquals(before, world.sentCalls.size());
    tokenRequest().response().accept(Optional.empty());
    Address third = tokenRequest().issuer();
    assertFalse(second.equals(third));
    tokenRequest().response().accept(Optional.empty());

    assertEquals(before + 1, world.sentCalls.size());
    assertFalse(world.lastCall().target().equals("c1"));
  }

  @Test
  void retriesNeedTokens() {
    limit(5, COUNTERS);
    submit("/safe/x");
    respondWith(ONE);
    int requestsBefore = world.tokenRequests.size();

    world.fail(world.lastCall().accept(), TargetFailure.RESET);

    assertEquals(requestsBefore + 1, world.tokenRequests.size());
    assertEquals(1, world.sentCalls.size());
    respondWith(ONE);
    assertEquals(2, world.sentCalls.size());
  }

  /**
   * Guards against continuations without a token; they have priority since a caller waits for the
   * rest of its stream.
   */
  @Test
  void continuationFromCopyNeedsUrgentToken() {
    submit("/stream/x");
    SentCall execution = world.lastCall().accept().respondHead(200, true).event(1);
    limit(0.5, ENGINES);

    world.fail(execution, TargetFailure.RESET);

    assertTrue(tokenRequest().requested().urgent());
    assertEquals(1, world.sentCalls.size());
    respondWith(ONE);
    assertEquals(2, world.sentCalls.size());
    assertTrue(world.lastCall().dispatch.continueFrom().isPresent());
  }

  @Test
  void startedStreamWaitsLongerForToken() {
    submit("/stream/x");
    SentCall execution = world.lastCall().accept().respondHead(200, true).event(1);
    limit(0.5, ENGINES);
    world.fail(execution, TargetFailure.RESET);
    for (int denied = 0; denied < ENGINES.length; denied++) {
      respondWith(DENIED);
    }

    world.advanceTime(1_500);
    assertFalse(caller.aborted);
    world.advanceTime(600);

    assertTrue(caller.aborted);
  }

  @Test
  void resumedStreamRequestsUrgentToken() {
    limit(0.5, ENGINES);
    world.lastEventId = OptionalLong.of(7);

    submit("/stream/x");

    assertTrue(tokenRequest().requested().urgent());
  }

  @Test
  void tokensForWaitingRequestsAreRequestedTogether() {
    limit(5, "c1");
    world.list(ForwardWorld.target("c1", ForwardWorld.COUNTERS, "north"));
    List<Caller> callers = new ArrayList<>();
    for (int number = 0; number < 4; number++) {
      callers.add(new Caller());
      world.submit("/safe/x", callers.get(number));
    }
    assertEquals(1, world.tokenRequests.size());
    respondWith(ONE);
    assertEquals(2, world.tokenRequests.size());
    assertEquals(3, tokenRequest().count());

    respondWith(new TokenGrant(2, 5_000));

    assertEquals(3, world.sentCalls.size());
    world.advanceTime(101);
    assertEquals(Rejection.OVERLOADED, callers.get(3).rejection);
  }
}
