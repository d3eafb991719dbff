package org.gatereel.proofs.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.gatereel.core.EntryHost;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.Event;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostDescription;
import org.gatereel.core.model.HostId;

/** One entry host process: a real decision core that can be killed, paused and started again. */
public final class FakeHost {
  private final World world;
  private final HostDescription description;
  private final Map<Long, FakeCaller> callers = new HashMap<>();
  private final List<Event> backlog = new ArrayList<>();
  private EntryHost core;
  private int incarnation;
  private Sabotage sabotage = Sabotage.NONE;
  private boolean paused;
  private long wakeAt = Long.MAX_VALUE;

  FakeHost(World world, HostDescription description) {
    this.world = world;
    this.description = description;
  }

  public HostId id() {
    return description.id();
  }

  public DataCentre dataCentre() {
    return description.dataCentre();
  }

  public EntryHost core() {
    return core;
  }

  public boolean isDead() {
    return core == null;
  }

  public boolean isPaused() {
    return paused;
  }

  private boolean runs() {
    return core != null && !paused;
  }

  public void start() {
    incarnation++;
    core = new EntryHost(id(), dataCentre(), new SplittableRandom(world.random().nextLong()));
    paused = false;
    wakeAt = Long.MAX_VALUE;
    List<HostDescription> seeds =
        world.hosts().stream()
            .map(host -> host.description)
            .filter(other -> !other.id().equals(id()))
            .toList();
    perform(core.start(world.now(), seeds));
    readList(incarnation);
  }

  private void readList(int started) {
    if (started != incarnation || core == null) {
      return;
    }
    if (!paused) {
      world.platform().list(this).ifPresent(list -> receive(new Event.HostListReceived(list)));
    }
    world.after(1_000, () -> readList(started));
  }

  /** Ends the process; its callers' connections break. */
  public void kill() {
    core = null;
    incarnation++;
    backlog.clear();
    world.oracle().hostForgot(id());
    List<FakeCaller> cut = List.copyOf(callers.values());
    callers.clear();
    cut.forEach(caller -> world.after(1, caller::connectionBroke));
  }

  public void pause() {
    paused = true;
  }

  /** Lets a paused process go on with what came meanwhile. */
  public void wake() {
    if (!paused) {
      return;
    }
    paused = false;
    if (core == null) {
      return;
    }
    // Timers and inbox race when a process wakes; both orders occur.
    List<Event> waiting = List.copyOf(backlog);
    backlog.clear();
    if (world.random().nextBoolean()) {
      advance();
      waiting.forEach(this::receive);
    } else {
      waiting.forEach(this::receive);
      advance();
    }
  }

  /** Opens a caller's exchange and passes its event on. */
  void connect(long number, FakeCaller caller, Event event) {
    callers.put(number, caller);
    receive(event);
  }

  void disconnect(long number) {
    if (callers.remove(number) != null) {
      receive(new Event.CallerDisconnected(number));
    }
  }

  public void receive(Event event) {
    if (core == null) {
      return;
    }
    if (paused) {
      backlog.add(event);
      return;
    }
    perform(core.handle(sabotage.change(event), world.now()));
  }

  private void advance() {
    if (runs()) {
      perform(core.advance(world.now()));
    }
  }

  /** Breaks this host on purpose. */
  public void sabotage(Sabotage kind) {
    sabotage = kind;
  }

  private void perform(List<Action> actions) {
    int started = incarnation;
    for (Action action : actions.stream().flatMap(a -> sabotage.change(a).stream()).toList()) {
      if (started != incarnation) {
        return;
      }
      perform(action);
      world.saw(this, action);
    }
    if (core != null) {
      world.oracle().inForce(id(), core.table().latestEdits());
      planWake(started);
    }
  }

  private void planWake(int started) {
    OptionalLong deadline = core.nextDeadline();
    if (deadline.isEmpty() || deadline.getAsLong() >= wakeAt) {
      return;
    }
    wakeAt = Math.max(deadline.getAsLong(), world.now());
    long planned = wakeAt;
    world.after(
        planned - world.now(),
        () -> {
          if (started == incarnation && wakeAt == planned) {
            wakeAt = Long.MAX_VALUE;
            advance();
            if (paused) {
              wakeAt = Long.MAX_VALUE;
            }
          }
        });
  }

  private void perform(Action action) {
    if (action instanceof Action.SendPeer send) {
      world.network().send(this, send.peer(), send.message());
    } else if (action instanceof Action.StartAttempt start) {
      world.engine(start.target().id()).start(this, start);
    } else if (action instanceof Action.CancelAttempt cancel) {
      world.engines().forEach(engine -> engine.cancel(cancel));
    } else if (action instanceof Action.SendCall send) {
      world.service(send.target().id()).send(this, send);
    } else if (action instanceof Action.Transact transact) {
      world.platform().transact(this, transact);
    } else if (action instanceof Action.ReadRows read) {
      world.platform().read(this, read);
    } else if (action instanceof Action.ScanRows scan) {
      world.platform().scan(this, scan);
    } else {
      toCaller(action);
    }
  }

  private void toCaller(Action action) {
    if (action instanceof Action.OpenStream open) {
      tell(open.caller(), action, false);
    } else if (action instanceof Action.SendToken send) {
      tell(send.caller(), action, false);
    } else if (action instanceof Action.EndStream end) {
      tell(end.caller(), action, true);
    } else if (action instanceof Action.SendProblem refuse) {
      tell(refuse.caller(), action, true);
    } else if (action instanceof Action.Disconnect disconnect) {
      tell(disconnect.caller(), action, true);
    } else if (action instanceof Action.SendResponse answer) {
      tell(answer.caller(), action, true);
    } else if (action instanceof Action.ConfirmEdit confirm) {
      tell(confirm.caller(), action, true);
    } else if (action instanceof Action.ReportLostRace lost) {
      tell(lost.caller(), action, true);
    }
  }

  private void tell(long number, Action action, boolean last) {
    FakeCaller caller = last ? callers.remove(number) : callers.get(number);
    if (caller != null) {
      world.after(1, () -> caller.told(number, action));
    }
  }
}
