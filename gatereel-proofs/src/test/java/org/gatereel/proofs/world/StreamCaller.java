package org.gatereel.proofs.world;

import java.util.List;
import java.util.Optional;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.Event;
import org.gatereel.core.generation.EventId;
import org.gatereel.core.generation.PrefixDigest;
import org.gatereel.core.model.Problem;
import org.gatereel.proofs.Promise;

/** A caller of one generation: it reconnects to any host and checks every token. */
public final class StreamCaller implements FakeCaller {
  private static final long SILENCE = 2_500;
  private static final long RECONNECT = 20;

  private final World world;
  private final String name;
  private final int tokens;
  private FakeHost host;
  private long exchange;
  private Optional<EventId> lastId = Optional.empty();
  private long chain;
  private int length;
  private long heardAt;
  private long longestGap;
  private long lastTokenAt;
  private int connections;
  private boolean whole;
  private Optional<Problem> problem = Optional.empty();

  public StreamCaller(World world, String name, int tokens) {
    this.world = world;
    this.name = name;
    this.tokens = tokens;
    this.chain = PrefixDigest.extend(PrefixDigest.EMPTY, name);
  }

  public void ask(FakeHost first) {
    connect(first);
    watchSilence();
  }

  private void connect(FakeHost to) {
    host = to;
    exchange = world.nextCaller();
    heardAt = world.now();
    connections++;
    if (to.isDead()) {
      long mine = exchange;
      world.after(RECONNECT, () -> reconnect(mine));
      return;
    }
    Event event =
        lastId
            .<Event>map(id -> new Event.ResumeRequested(exchange, FakePlatform.KEY, id))
            .orElseGet(
                () ->
                    new Event.GenerationRequested(
                        exchange, FakePlatform.KEY, World.ASSISTANT, name, tokens));
    to.connect(exchange, this, event);
  }

  private void watchSilence() {
    if (isDone()) {
      return;
    }
    if (world.now() - heardAt >= SILENCE) {
      host.disconnect(exchange);
      reconnect(exchange);
    }
    world.after(100, this::watchSilence);
  }

  private void reconnect(long from) {
    if (isDone() || exchange != from) {
      return;
    }
    List<FakeHost> others =
        world.hosts().stream().filter(other -> other != host && !other.isDead()).toList();
    connect(others.get(world.random().nextInt(others.size())));
  }

  /** Connects to another host although the connection is good, as a caller may. */
  public void moveTo(FakeHost other) {
    if (!isDone()) {
      FakeHost former = host;
      long formerExchange = exchange;
      connect(other);
      former.disconnect(formerExchange);
    }
  }

  @Override
  public void connectionBroke() {
    long broken = exchange;
    world.after(RECONNECT, () -> reconnect(broken));
  }

  @Override
  public void told(long from, Action action) {
    if (from != exchange || isDone()) {
      return;
    }
    heardAt = world.now();
    if (action instanceof Action.OpenStream open) {
      lastId = Optional.of(open.id());
    } else if (action instanceof Action.SendToken send) {
      token(send);
    } else if (action instanceof Action.EndStream end) {
      ended(end);
    } else if (action instanceof Action.SendProblem refuse) {
      refused(refuse.problem());
    } else if (action instanceof Action.Disconnect) {
      connectionBroke();
    }
  }

  private void token(Action.SendToken send) {
    if (!FakeEngine.continues(send.token(), chain)) {
      world.oracle().violated(Promise.NEVER_MIXED, name + " at " + length + ": " + send.token());
    }
    length++;
    if (send.id().offset() != length) {
      String detail = name + " has " + length + " tokens, told " + send.id().offset();
      world.oracle().violated(Promise.STREAM_WHOLE, detail);
    }
    chain = PrefixDigest.extend(chain, send.token());
    lastId = Optional.of(send.id());
    if (lastTokenAt > 0) {
      longestGap = Math.max(longestGap, world.now() - lastTokenAt);
    }
    lastTokenAt = world.now();
  }

  private void ended(Action.EndStream end) {
    if (length != tokens || end.id().offset() != tokens) {
      world.oracle().violated(Promise.STREAM_WHOLE, name + " ended at " + length + " of " + tokens);
    }
    whole = true;
  }

  private void refused(Problem told) {
    if (told.retryAfterMillis() > 0) {
      long from = exchange;
      world.after(Math.min(told.retryAfterMillis(), 1_000), () -> reconnect(from));
    } else {
      problem = Optional.of(told);
    }
  }

  public FakeHost host() {
    return host;
  }

  public Optional<EventId> lastId() {
    return lastId;
  }

  public boolean isWhole() {
    return whole;
  }

  public Optional<Problem> problem() {
    return problem;
  }

  public int length() {
    return length;
  }

  /** Returns the longest time between two tokens, in milliseconds. */
  public long longestGap() {
    return longestGap;
  }

  public int connections() {
    return connections;
  }

  @Override
  public boolean isDone() {
    return whole || problem.isPresent();
  }

  @Override
  public String toString() {
    return name + " " + length + "/" + tokens + " whole=" + whole + " problem=" + problem;
  }
}
