package org.gatereel.proofs.world;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.Event;
import org.gatereel.core.event.TargetFailure;
import org.gatereel.core.generation.PrefixDigest;
import org.gatereel.core.model.RequestId;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;

/** An engine whose tokens name it and carry a digest of everything before them. */
public final class FakeEngine {
  private static final long STEP = 20;
  private static final long PREFILL = 30;
  private static final long DELAY = 1;

  private final World world;
  private final TargetDescription description;
  private final Map<Key, Stream> streams = new HashMap<>();
  private boolean dead;
  private boolean frozen;
  private boolean silent;
  private boolean saysGoodbye;
  private long tokens;
  private long promptTokens;

  private record Key(RequestId request, int attempt, FakeHost host) {}

  private static final class Stream {
    private final Key key;
    private final Action.StartAttempt start;
    private int offset;
    private long chain;

    private Stream(Key key, Action.StartAttempt start) {
      this.key = key;
      this.start = start;
      this.offset = start.tokens().size();
      this.chain = chainAfter(start.spec().prompt(), start.tokens());
    }
  }

  FakeEngine(World world, TargetDescription description) {
    this.world = world;
    this.description = description;
  }

  public TargetId id() {
    return description.id();
  }

  TargetDescription description() {
    return description;
  }

  /** Returns the tokens made so far, kept or not. */
  public long tokensMade() {
    return tokens;
  }

  /** Returns the prompt and prefix tokens computed so far. */
  public long promptTokensComputed() {
    return promptTokens;
  }

  /** Returns the chain value after a prompt and some tokens. */
  static long chainAfter(String prompt, List<String> tokens) {
    long chain = PrefixDigest.extend(PrefixDigest.EMPTY, prompt);
    for (String token : tokens) {
      chain = PrefixDigest.extend(chain, token);
    }
    return chain;
  }

  static boolean continues(String token, long chain) {
    return token.endsWith(":" + Long.toHexString(chain));
  }

  void start(FakeHost host, Action.StartAttempt start) {
    Key key = new Key(start.spec().request(), start.attempt(), host);
    if (silent) {
      return;
    }
    if (dead) {
      world.after(DELAY, () -> fail(key, TargetFailure.NOT_CONNECTED));
      return;
    }
    if (saysGoodbye) {
      world.after(DELAY, () -> fail(key, TargetFailure.GOODBYE));
      return;
    }
    world.oracle().newWork(id(), world.now());
    promptTokens += start.tokens().size() + 1;
    Stream stream = new Stream(key, start);
    streams.put(key, stream);
    world.after(PREFILL, () -> step(stream));
  }

  private static void fail(Key key, TargetFailure failure) {
    key.host().receive(new Event.AttemptFailed(key.request(), key.attempt(), failure));
  }

  void cancel(Action.CancelAttempt cancel) {
    streams
        .keySet()
        .removeIf(
            key -> key.request().equals(cancel.request()) && key.attempt() == cancel.attempt());
  }

  private void step(Stream stream) {
    boolean live = streams.get(stream.key) == stream;
    if (!live || stream.key.host().isDead()) {
      streams.remove(stream.key, stream);
      return;
    }
    if (!frozen) {
      emit(stream);
    }
    world.after(STEP, () -> step(stream));
  }

  private void emit(Stream stream) {
    FakeHost host = stream.key.host();
    RequestId request = stream.key.request();
    int attempt = stream.key.attempt();
    if (stream.offset < stream.start.spec().maximumTokens()) {
      String token = id() + ":" + Long.toHexString(stream.chain);
      int offset = stream.offset++;
      tokens++;
      stream.chain = PrefixDigest.extend(stream.chain, token);
      int load = streams.size();
      world.after(
          DELAY, () -> host.receive(new Event.TokenArrived(request, attempt, offset, token, load)));
    }
    if (stream.offset >= stream.start.spec().maximumTokens()) {
      streams.remove(stream.key);
      int length = stream.offset;
      world.after(DELAY, () -> host.receive(new Event.AttemptFinished(request, attempt, length)));
    }
  }

  /** Ends the process; connections are reset. */
  public void die() {
    dead = true;
    List<Key> cut = new ArrayList<>(streams.keySet());
    streams.clear();
    cut.forEach(key -> world.after(DELAY, () -> fail(key, TargetFailure.RESET)));
  }

  /** Ends the host so that nobody learns of it: connections stay half open. */
  public void dieSilently() {
    silent = true;
    streams.clear();
  }

  public void freeze() {
    frozen = true;
  }

  public void thaw() {
    frozen = false;
  }

  /** Starts the process again with nothing. */
  public void restart() {
    dead = false;
    silent = false;
    frozen = false;
  }

  /** Has the platform list it as leaving; it still works for a while. */
  public void leave() {
    world.platform().listLeaving(id());
    world.oracle().leaving(id(), world.now());
  }

  public void sayGoodbye() {
    saysGoodbye = true;
  }
}
