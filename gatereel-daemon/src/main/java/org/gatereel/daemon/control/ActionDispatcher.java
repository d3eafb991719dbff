package org.gatereel.daemon.control;

import java.util.function.Consumer;
import org.gatereel.adapters.platform.PlatformClient;
import org.gatereel.adapters.targets.EngineClient;
import org.gatereel.adapters.targets.ServiceClient;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.Event;
import org.gatereel.daemon.callers.CallerExchanges;
import org.gatereel.daemon.events.EventLog;

/** Dispatches the core's actions to the adapters that execute them. */
public final class ActionDispatcher implements Consumer<Action> {
  private final EventLog events;
  private final CallerExchanges callers;
  private final PlatformClient platform;
  private final EngineClient engines;
  private final ServiceClient services;
  private final PeerSender peers;
  private final Consumer<Event> eventSink;

  public ActionDispatcher(
      EventLog events,
      CallerExchanges callers,
      PlatformClient platform,
      EngineClient engines,
      ServiceClient services,
      PeerSender peers,
      Consumer<Event> eventSink) {
    this.events = events;
    this.callers = callers;
    this.platform = platform;
    this.engines = engines;
    this.services = services;
    this.peers = peers;
    this.eventSink = eventSink;
  }

  @Override
  public void accept(Action action) {
    if (action instanceof Action.SendToken send) {
      callers.sendToken(send);
    } else if (action instanceof Action.SendPeer send) {
      peers.send(send);
    } else if (action instanceof Action.CloseConnection drop) {
      peers.drop(drop.peer());
    } else if (action instanceof Action.LogEvent note) {
      events.recordEvent(note);
    } else if (action instanceof Action.RecordMeasurement measure) {
      events.recordMeasurement(measure);
    } else if (!dispatchToTarget(action) && !dispatchToPlatform(action)) {
      callers.execute(action);
    }
  }

  private boolean dispatchToTarget(Action action) {
    if (action instanceof Action.StartAttempt start) {
      engines.start(start);
    } else if (action instanceof Action.CancelAttempt cancel) {
      engines.cancel(cancel.request(), cancel.attempt());
    } else if (action instanceof Action.SendCall send) {
      services.send(send);
    } else {
      return false;
    }
    return true;
  }

  private boolean dispatchToPlatform(Action action) {
    if (action instanceof Action.Transact transact) {
      platform.transact(
          transact.writes(),
          result -> eventSink.accept(new Event.TransactionEnded(transact.ticket(), result)));
    } else if (action instanceof Action.ReadRows read) {
      platform.read(
          read.keys(), result -> eventSink.accept(new Event.ReadEnded(read.ticket(), result)));
    } else if (action instanceof Action.ScanRows scan) {
      platform.scan(
          scan.prefix(),
          scan.after(),
          result -> eventSink.accept(new Event.ReadEnded(scan.ticket(), result)));
    } else {
      return false;
    }
    return true;
  }
}
