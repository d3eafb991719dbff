package org.gatereel.proofs.world;

import java.util.List;
import java.util.Optional;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.Event;
import org.gatereel.core.model.Outcome;
import org.gatereel.core.model.Problem;
import org.gatereel.proofs.Promise;

/** A caller of one call that may not be repeated; it sends the same key again when in doubt. */
public final class CallCaller implements FakeCaller {
  private static final long SILENCE = 3_000;
  private static final int MOST_SENDS = 8;

  private final World world;
  private final String key;
  private long exchange;
  private FakeHost host;
  private int sends;
  private Optional<String> answer = Optional.empty();
  private Optional<Problem> problem = Optional.empty();

  public CallCaller(World world, String key) {
    this.world = world;
    this.key = key;
  }

  public void send(FakeHost to) {
    sends++;
    host = to;
    exchange = world.nextCaller();
    long sent = exchange;
    if (!to.isDead()) {
      to.connect(
          exchange,
          this,
          new Event.CallRequested(
              exchange, FakePlatform.KEY, World.POINTS, Optional.of(key), "debit 40"));
    }
    world.after(to.isDead() ? 20 : SILENCE, () -> sendElsewhere(sent));
  }

  private void sendElsewhere(long from) {
    if (isDone() || exchange != from || sends >= MOST_SENDS) {
      return;
    }
    List<FakeHost> alive = world.hosts().stream().filter(other -> !other.isDead()).toList();
    send(alive.get(world.random().nextInt(alive.size())));
  }

  @Override
  public void connectionBroke() {
    long broken = exchange;
    world.after(20, () -> sendElsewhere(broken));
  }

  @Override
  public void told(long from, Action action) {
    if (isDone()) {
      return;
    }
    if (action instanceof Action.SendResponse told) {
      answer = Optional.of(told.body());
      if (!told.body().equals("ran " + id())) {
        world.oracle().violated(Promise.OWN_ANSWER, id() + " was answered " + told.body());
      }
      if (world.oracle().executions(id()) != 1) {
        world.oracle().violated(Promise.OWN_ANSWER, id() + " was answered but did not run");
      }
    } else if (action instanceof Action.SendProblem refuse) {
      refused(from, refuse.problem());
    }
  }

  private void refused(long from, Problem told) {
    boolean again = told.retryAfterMillis() > 0 && sends < MOST_SENDS;
    if (told.outcome() == Outcome.NOT_RUN) {
      world.oracle().toldNotRun(id(), !again);
    }
    if (again) {
      world.after(told.retryAfterMillis(), () -> sendElsewhere(from));
    } else if (from == exchange) {
      problem = Optional.of(told);
    }
  }

  /** Returns the id under which the service sees the call. */
  public String id() {
    return "ward-office/" + key;
  }

  public FakeHost host() {
    return host;
  }

  public Optional<String> answer() {
    return answer;
  }

  public Optional<Problem> problem() {
    return problem;
  }

  @Override
  public boolean isDone() {
    return answer.isPresent() || problem.isPresent();
  }

  @Override
  public String toString() {
    return key + " sends=" + sends + " answer=" + answer + " problem=" + problem;
  }
}
