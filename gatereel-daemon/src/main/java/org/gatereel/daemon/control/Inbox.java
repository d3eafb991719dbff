package org.gatereel.daemon.control;

import org.gatereel.adapters.targets.TargetListener;
import org.gatereel.core.event.Event;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.RequestId;
import org.gatereel.core.peer.PeerMessage;
import org.gatereel.daemon.events.EventLog;
import org.gatereel.wire.MalformedMessageException;
import org.gatereel.wire.PeerListener;

/** Converts the callbacks of targets and peers to events of the core. */
public final class Inbox implements TargetListener, PeerListener {
  private final EventLog events;
  private volatile ControlLoop control;

  public Inbox(EventLog events) {
    this.events = events;
  }

  /** Sets the loop that handles the events; earlier events are dropped. */
  public void connect(ControlLoop loop) {
    control = loop;
  }

  /** Passes an event to the loop. */
  public void post(Event event) {
    ControlLoop loop = control;
    if (loop != null) {
      loop.post(event);
    }
  }

  @Override
  public void onToken(RequestId request, int attempt, int offset, String token, int load) {
    post(new Event.TokenArrived(request, attempt, offset, token, load));
  }

  @Override
  public void onFinished(RequestId request, int attempt, int length) {
    post(new Event.AttemptFinished(request, attempt, length));
  }

  @Override
  public void onFailed(RequestId request, int attempt, TargetFailure failure) {
    post(new Event.AttemptFailed(request, attempt, failure));
  }

  @Override
  public void onCallResponse(long ticket, int status, String body, int load) {
    post(new Event.CallResponseReceived(ticket, status, body, load));
  }

  @Override
  public void onCallFailed(long ticket, TargetFailure failure) {
    post(new Event.CallFailed(ticket, failure));
  }

  @Override
  public void onMessage(HostId from, PeerMessage message) {
    post(new Event.PeerMessageReceived(from, message));
  }

  @Override
  public void onUnreachable(HostId peer, boolean processGone) {
    post(new Event.PeerUnreachable(peer, processGone));
  }

  @Override
  public void onMalformedMessage(String from, MalformedMessageException failure) {
    events.logFailure("a message of peer " + from + " cannot be read", failure);
  }
}
