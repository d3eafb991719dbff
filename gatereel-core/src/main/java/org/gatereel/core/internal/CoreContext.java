package org.gatereel.core.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.event.Measurement;
import org.gatereel.core.event.PolicyVariant;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.ServiceName;

/** What every part of the core shares: who it is, the time, timers, randomness, and its outbox. */
public final class CoreContext {
  private static final long PAUSE_EFFECT_MILLIS = 300;

  private final HostId self;
  private final DataCentre dataCentre;
  private final RandomGenerator random;
  private final TimerQueue timers = new TimerQueue();
  private List<Action> actions = new ArrayList<>();
  private long now;
  private long suspendedMillis;
  private long pauseEffectUntil;
  private long ticket;

  public CoreContext(HostId self, DataCentre dataCentre, RandomGenerator random) {
    this.self = self;
    this.dataCentre = dataCentre;
    this.random = random;
    this.ticket = random.nextLong();
  }

  public HostId self() {
    return self;
  }

  public DataCentre dataCentre() {
    return dataCentre;
  }

  public RandomGenerator random() {
    return random;
  }

  /** Returns the time in milliseconds; it never goes back. */
  public long now() {
    return now;
  }

  /**
   * Returns the time by which the age of what is known is taken, in milliseconds; it never goes
   * back.
   *
   * <p>Beyond {@link #now} it counts the time in which this host may have been suspended. Deadlines
   * and time-outs go by {@link #now}: a time of day that is set forward must not end requests.
   */
  public long nowIncludingSuspensions() {
    return now + suspendedMillis;
  }

  /** Notes that this host was suspended, so that all it knows is older by that. */
  public void recordSuspension(long millis) {
    suspendedMillis += millis;
    logEvent(
        EventCode.HOST_SUSPENDED, self.value(), "millis=" + millis + " all=" + suspendedMillis);
  }

  /**
   * Returns a number that was not given out before, not even by an earlier process of this host.
   *
   * <p>A peer's answer to that process may reach this one, and must not be taken for another.
   */
  public long nextTicket() {
    return ++ticket;
  }

  /** Moves the time on; a time before the present one is ignored. */
  public void advanceTo(long time) {
    now = Math.max(now, time);
  }

  /** Says that this host did not run for a while, so that its time-outs prove nothing. */
  public void recordPause() {
    pauseEffectUntil = now + PAUSE_EFFECT_MILLIS;
  }

  /** Returns whether a time-out may be this host's own fault, because it was paused itself. */
  public boolean isPauseRecent() {
    return now < pauseEffectUntil;
  }

  public TimerQueue timers() {
    return timers;
  }

  public TimerQueue.Timer schedule(long delayMillis, Runnable task) {
    return timers.add(now + delayMillis, task);
  }

  public void emit(Action action) {
    actions.add(action);
  }

  /** Puts an entry on the time line. */
  public void logEvent(EventCode code, String subject, String detail) {
    emit(new Action.LogEvent(code, subject, detail));
  }

  /** Hands over the actions since the last call. */
  public List<Action> takeActions() {
    List<Action> taken = actions;
    actions = new ArrayList<>();
    return taken;
  }

  /** Adds a value to the statistics that policies are compared by. */
  public void measure(Measurement measurement, ServiceName service, PolicyVariant arm, long value) {
    emit(new Action.RecordMeasurement(measurement, service, arm, value));
  }
}
