package org.gatereel.proofs.fuzz;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.gatereel.core.action.Action;
import org.gatereel.core.model.ProblemType;
import org.gatereel.core.peer.PeerMessage;
import org.gatereel.core.table.RowKey;
import org.gatereel.core.table.RowKind;
import org.gatereel.proofs.Oracle;
import org.gatereel.proofs.Promise;
import org.gatereel.proofs.world.CallCaller;
import org.gatereel.proofs.world.FakeEngine;
import org.gatereel.proofs.world.FakeHost;
import org.gatereel.proofs.world.FakeService;
import org.gatereel.proofs.world.HistoryCheck;
import org.gatereel.proofs.world.Operator;
import org.gatereel.proofs.world.StreamCaller;
import org.gatereel.proofs.world.World;

/** What a fuzzing run may do to a world, and what must hold when all is healed. */
public final class FuzzWorld {
  private static final long BACK_AGAIN = 1_500;
  private static final long SETTLE = 120_000;
  private static final long IN_FORCE = 14_000;
  private static final int HOSTS_IN_HALL = 2;

  private final World world;
  private final List<StreamCaller> streams = new ArrayList<>();
  private final List<CallCaller> calls = new ArrayList<>();
  private final List<Operator> operators = new ArrayList<>();

  public FuzzWorld(long seed) {
    world = World.ofThreeHalls(seed, HOSTS_IN_HALL);
  }

  void printEvents() {
    world.watch(
        (host, action) -> {
          if (!(action instanceof Action.SendPeer send
              && send.message() instanceof PeerMessage.Heartbeat)) {
            System.out.println(world.now() + " " + host.id() + " " + action);
          }
        });
  }

  private FakeHost host(int number) {
    return world.hosts().get(number % world.hosts().size());
  }

  void startStream(int at, int tokens) {
    StreamCaller caller = new StreamCaller(world, "prompt " + streams.size(), tokens);
    streams.add(caller);
    caller.ask(host(at));
  }

  void moveCaller(int which, int to) {
    if (!streams.isEmpty() && !host(to).isDead()) {
      streams.get(which % streams.size()).moveTo(host(to));
    }
  }

  void startCall(int at, int key) {
    CallCaller caller = new CallCaller(world, "key-" + key);
    calls.add(caller);
    caller.send(host(at));
  }

  void edit(int at, int row) {
    RowKey key = new RowKey(RowKind.SERVICE, row % 2 == 0 ? "assistant" : "points");
    int number = operators.size();
    Operator operator =
        new Operator(
            world,
            "edit-" + number,
            key,
            Map.of("patience_millis", Integer.toString(500 + number)));
    operators.add(operator);
    operator.edit(host(at));
  }

  void killHost(int number) {
    FakeHost host = host(number);
    if (!host.isDead()) {
      host.kill();
      world.after(BACK_AGAIN, () -> revive(host));
    }
  }

  private static void revive(FakeHost host) {
    if (host.isDead()) {
      host.start();
    }
  }

  void pauseHost(int number, int millis) {
    FakeHost host = host(number);
    if (!host.isDead()) {
      host.pause();
      world.after(millis, host::wake);
    }
  }

  void killEngine(int number, boolean silently) {
    FakeEngine engine = world.engines().get(number % world.engines().size());
    if (silently) {
      engine.dieSilently();
    } else {
      engine.die();
    }
    world.after(BACK_AGAIN, engine::restart);
  }

  void freezeEngine(int number, int millis) {
    FakeEngine engine = world.engines().get(number % world.engines().size());
    engine.freeze();
    world.after(millis, engine::thaw);
  }

  void killService(int number) {
    FakeService service = world.services().get(number % world.services().size());
    service.die();
    world.after(BACK_AGAIN, service::restart);
  }

  void freezeService(int number, int millis) {
    FakeService service = world.services().get(number % world.services().size());
    service.freeze();
    world.after(millis, service::thaw);
  }

  void cutLink(int from, int to, boolean oneWay) {
    if (oneWay) {
      world.network().cutOneWay(host(from).id(), host(to).id());
    } else {
      world.network().cutBothWays(host(from).id(), host(to).id());
    }
  }

  void cutHall(int number) {
    world.network().cutHall(host(number).dataCentre());
  }

  void heal() {
    world.network().heal();
    world.network().misbehave(0, 0, 0);
  }

  void misbehave(int loss, int doubled, int late) {
    world.network().misbehave(loss, doubled, late);
  }

  void platform(boolean down, boolean slow, boolean stale, int answersToLose) {
    world.platform().down(down);
    world.platform().slow(slow);
    world.platform().staleReads(stale);
    world.platform().loseAnswers(answersToLose);
  }

  void pass(int millis) {
    world.runUntil(world.now() + millis);
  }

  /** Heals everything, lets everyone finish, and returns what was broken. */
  public List<Oracle.Violation> settle() {
    heal();
    platform(false, false, false, 0);
    world.hosts().forEach(FakeHost::wake);
    world.hosts().forEach(FuzzWorld::revive);
    world.engines().forEach(FakeEngine::restart);
    world.services().forEach(FakeService::restart);
    world.runUntil(world.now() + SETTLE, this::isDone);
    world.runUntil(world.now() + IN_FORCE);
    checkStreams();
    checkCalls();
    HistoryCheck.check(world);
    return world.oracle().violations();
  }

  private boolean isDone() {
    return streams.stream().allMatch(StreamCaller::isDone)
        && calls.stream().allMatch(CallCaller::isDone)
        && operators.stream().allMatch(Operator::isDone);
  }

  private void checkStreams() {
    for (StreamCaller caller : streams) {
      boolean typedLoss =
          caller.problem().stream()
              .anyMatch(problem -> problem.type() == ProblemType.GENERATION_LOST);
      if (!caller.isWhole() && !typedLoss) {
        world.oracle().violated(Promise.STREAM_WHOLE, caller.toString());
      }
    }
  }

  private void checkCalls() {
    for (CallCaller caller : calls) {
      if (!caller.isDone()) {
        world.oracle().violated(Promise.OWN_ANSWER, "no end: " + caller);
      }
    }
  }
}
