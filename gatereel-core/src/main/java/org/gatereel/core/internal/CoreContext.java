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

/** The state that all parts of the core share: identity, time, timers, randomness and actions. */
public final class CoreContext {
  private static final long PAUSE_EFFECT_MILLIS = 300;

  private final HostId self;
  private final DataCentre dataCentre;
  private final RandomGenerator random;
  private final TimerQueue timers = new TimerQueue();
  private final PauseHistory pauses = new PauseHistory();
  private List<Action> actions = new ArrayList<>();
  private long now;
  private long suspendedMillis;
  private long delayedMillis;
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

  /** Returns the time in milliseconds; it never decreases. */
  public long now() {
    return now;
  }

  /**
   * Returns the time in milliseconds for computing the age of information; it never decreases.
   *
   * <p>In addition to {@link #now} it includes the time in which this host may have been suspended.
   * Deadlines and timeouts use {@link #now}, as setting the time of day forward must not end
   * requests.
   */
  public long nowIncludingSuspensions() {
    return now + suspendedMillis;
  }

  /** Records a suspension of this host, which adds to the age of all its information. */
  public void recordSuspension(long millis) {
    suspendedMillis += millis;
    pauses.add(nowIncludingSuspensions(), millis);
    logEvent(
        EventCode.HOST_SUSPENDED, self.value(), "millis=" + millis + " all=" + suspendedMillis);
  }

  /** Records a time in which this host ran no timers although its clock went on. */
  public void recordDelay(long millis) {
    delayedMillis += millis;
    pauses.add(nowIncludingSuspensions(), millis);
    logEvent(EventCode.EVENT_LOOP_DELAYED, self.value(), "millis=" + millis);
  }

  /** Returns for how long this host has stood still since its start, in milliseconds. */
  public long pausedMillis() {
    return suspendedMillis + delayedMillis;
  }

  /**
   * Returns for how long this host has stood still since a time by {@link
   * #nowIncludingSuspensions}, in milliseconds.
   */
  public long pausedMillisSince(long time) {
    return pauses.millisSince(time);
  }

  /** Returns the time since this host last stood still, in milliseconds. */
  public long millisSincePause() {
    return nowIncludingSuspensions() - pauses.lastEndedAt();
  }

  /**
   * Returns a number that no earlier call returned, including calls in earlier processes of this
   * host.
   *
   * <p>A peer's late response to an earlier process must not match a request of this one.
   */
  public long nextTicket() {
    return ++ticket;
  }

  /** Advances the time; a time before the current one is ignored. */
  public void advanceTo(long time) {
    now = Math.max(now, time);
  }

  /** Records that this host was paused, so that its timeouts are unreliable for a while. */
  public void recordPause() {
    pauseEffectUntil = now + PAUSE_EFFECT_MILLIS;
  }

  /** Returns whether a timeout may be caused by a pause of this host itself. */
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

  /** Emits an entry for the timeline and the log. */
  public void logEvent(EventCode code, String subject, String detail) {
    emit(new Action.LogEvent(code, subject, detail));
  }

  /** Returns and removes the actions emitted since the last call. */
  public List<Action> takeActions() {
    List<Action> takenActions = actions;
    actions = new ArrayList<>();
    return takenActions;
  }

  /** Records a value in the statistics by which policies are compared. */
  public void measure(Measurement measurement, ServiceName service, PolicyVariant arm, long value) {
    emit(new Action.RecordMeasurement(measurement, service, arm, value));
  }
}
