package org.gatereel.proofs.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gatereel.core.model.TargetDescription;

/** A target that works on some requests at once, queues a few more and refuses the rest. */
abstract class TargetModel {
  private static final int ERROR_STATUS = 500;
  private static final int FULL_STATUS = 503;
  private static final int USUAL_URGENCY = 5;

  private final VirtualTime time;
  private final int queued;
  private final List<Run> runs = new ArrayList<>();
  private final Map<String, Long> copies = new HashMap<>();
  private TargetDescription description;
  private long life;
  private boolean alive = true;
  private boolean failing;
  private long errors;
  private int turnedAway;
  private int lostWaiting;
  private int lostReading;
  private Optional<TargetLimit> limit = Optional.empty();
  private Optional<TargetSaying> saying = Optional.empty();

  /** Who hears of a run. */
  interface Client {
    void head(int status, boolean notRun, boolean stream);

    void event(long id);

    void ended();

    void reset();
  }

  /** One request at a target. */
  static final class Run {
    final Client client;
    final String name;
    final TargetModel copyAt;
    final long lastEvent;
    Optional<FatalContent> fatal = Optional.empty();
    final int prompt;
    int urgency = USUAL_URGENCY;
    boolean admitted;
    int promptLeft;
    int tokens;
    long event;
    boolean started;

    Run(
        Client client,
        String name,
        TargetModel copyAt,
        int promptLeft,
        long event,
        long lastEvent) {
      this.client = client;
      this.name = name;
      this.copyAt = copyAt;
      this.prompt = promptLeft;
      this.promptLeft = promptLeft;
      this.event = event;
      this.lastEvent = lastEvent;
    }
  }

  TargetModel(VirtualTime time, TargetDescription description, int queued) {
    this.time = time;
    this.description = description;
    this.queued = queued;
  }

  /** Works on what it has, unless it does so already. */
  abstract void work();

  final VirtualTime time() {
    return time;
  }

  final TargetDescription description() {
    return description;
  }

  final boolean isAlive() {
    return alive;
  }

  /** Returns how often the target has ended, so that late steps of an earlier life are told. */
  final long life() {
    return life;
  }

  /** Returns how many requests it has answered with an error. */
  final long errors() {
    return errors;
  }

  final List<Run> runs() {
    return runs;
  }

  /** Returns the requests it works on; the others wait. */
  List<Run> running() {
    return runs.subList(0, Math.min(runs.size(), description.slots()));
  }

  /** Names a limit in each answer, or no longer; nothing is turned away for it. */
  final void name(Optional<TargetLimit> named) {
    limit = named;
  }

  final Optional<TargetLimit> limit() {
    return limit;
  }

  /** Says something in each answer, until it ends. */
  final void say(TargetSaying said) {
    saying = Optional.of(said);
  }

  final Optional<TargetSaying> saying() {
    return saying;
  }

  /** Answers each request with an error at once, or no longer. */
  final void fail(boolean fails) {
    failing = fails;
  }

  /** Ends with all runs and copies. */
  final void end() {
    alive = false;
    life++;
    limit.ifPresent(named -> named.end(time.millis()));
    limit = Optional.empty();
    saying.ifPresent(said -> said.end(time.millis()));
    saying = Optional.empty();
    copies.clear();
    List<Run> broken = List.copyOf(runs);
    List<Run> worked = List.copyOf(running());
    lostWaiting +=
        (int) broken.stream().filter(run -> run.event == 0 && !worked.contains(run)).count();
    lostReading += (int) worked.stream().filter(run -> !run.started).count();
    runs.clear();
    broken.forEach(run -> run.client.reset());
  }

  /** Returns how many requests it turned away because it was full. */
  final int turnedAway() {
    return turnedAway;
  }

  /** Returns how many requests without an event waited for a slot or memory when it ended. */
  final int lostWaiting() {
    return lostWaiting;
  }

  /** Returns how many requests had a slot and no event when it ended. */
  final int lostReading() {
    return lostReading;
  }

  /** Starts again under another name. */
  final void start(TargetDescription next) {
    description = next;
    alive = true;
  }

  /** Takes a request up, or answers at once that it does not. */
  final void take(Run run) {
    if (failing) {
      errors++;
      run.client.head(ERROR_STATUS, false, false);
      run.client.ended();
    } else if (saying.filter(TargetSaying::refuses).isPresent()) {
      run.client.head(FULL_STATUS, true, false);
    } else if (runs.size() >= description.slots() + queued) {
      turnedAway++;
      run.client.head(FULL_STATUS, true, false);
    } else {
      runs.add(run);
      work();
    }
  }

  final void cancel(Run run) {
    runs.remove(run);
  }

  final void keepCopy(String name, long untilMillis) {
    copies.put(name, untilMillis);
  }

  final boolean hasCopy(String name) {
    return copies.getOrDefault(name, Long.MIN_VALUE) >= time.millis();
  }
}
