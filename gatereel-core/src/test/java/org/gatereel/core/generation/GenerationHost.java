package org.gatereel.core.generation;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.gatereel.core.EntryHost;
import org.gatereel.core.action.Action;
import org.gatereel.core.edit.TableEditCodec;
import org.gatereel.core.event.Event;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.HostList;
import org.gatereel.core.model.LifeState;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.model.TargetKind;
import org.gatereel.core.platform.ReadResult;
import org.gatereel.core.table.Row;
import org.gatereel.core.table.RowKey;
import org.gatereel.core.table.RowKind;
import org.gatereel.core.table.TableEdit;

/** One host without peers, with engines that are played by the test, in made-up time. */
final class GenerationHost {
  static final long CALLER = 7;

  private static final ServiceName SERVICE = new ServiceName("assistant");
  private static final String CREDENTIAL = "ab".repeat(32);

  private final EntryHost core =
      new EntryHost(new HostId("entry-1"), new DataCentre("ollur"), new Random(1));
  private final TreeMap<String, String> table = new TreeMap<>();
  private final List<Action> actions = new ArrayList<>();
  private final List<String> engines;
  private long now = 1_000;
  private long listVersion;

  GenerationHost(String... engines) {
    this.engines = List.of(engines);
    seed(1, RowKind.ACCOUNT, "ward", Map.of("key_sha256", CREDENTIAL));
    seed(2, RowKind.SERVICE, "assistant", Map.of("kind", "generation"));
    take(core.start(now, List.of()));
    list(LifeState.LIVE);
  }

  private void seed(long revision, RowKind kind, String name, Map<String, String> cells) {
    Row row = new Row(new RowKey(kind, name), revision, false, new TreeMap<>(cells));
    String text = TableEditCodec.encode(new TableEdit(row, "seed-" + revision, "seed", 0));
    table.put("policy/row/" + row.key(), text);
    table.put("policy/history/" + String.format("%012d", revision), text);
    table.put("policy/revision", Long.toString(revision));
  }

  private void take(List<Action> taken) {
    actions.addAll(taken);
    for (Action action : taken) {
      if (action instanceof Action.ReadRows read) {
        TreeMap<String, String> found = new TreeMap<>(table);
        found.keySet().retainAll(read.keys());
        handle(new Event.ReadEnded(read.ticket(), new ReadResult.Rows(found)));
      } else if (action instanceof Action.ScanRows scan) {
        TreeMap<String, String> found = new TreeMap<>(table);
        found
            .keySet()
            .removeIf(key -> !key.startsWith(scan.prefix()) || key.compareTo(scan.after()) <= 0);
        handle(new Event.ReadEnded(scan.ticket(), new ReadResult.Rows(found)));
      }
    }
  }

  void handle(Event event) {
    take(core.handle(event, now));
  }

  /** Names the engines to the host; the first of them in a state, the others live. */
  void list(LifeState first) {
    List<TargetDescription> targets = new ArrayList<>();
    for (String engine : engines) {
      LifeState state = targets.isEmpty() ? first : LifeState.LIVE;
      targets.add(
          new TargetDescription(
              new TargetId(engine),
              TargetKind.ENGINE,
              SERVICE,
              new DataCentre("ollur"),
              new Address("127.0.0.1", 1 + targets.size()),
              8,
              state));
    }
    handle(new Event.HostListSeen(new HostList(++listVersion, List.of(), targets)));
  }

  /** Lets time pass until the host has asked an engine for so many attempts in all. */
  void awaitAttempts(int count) {
    for (int step = 0; attempts().size() < count && step < 10_000; step++) {
      now++;
      take(core.advance(now));
    }
    if (attempts().size() < count) {
      throw new AssertionError("attempts: " + attempts());
    }
  }

  /** Asks for a generation and returns its first attempt. */
  Action.StartAttempt ask(int maximumTokens) {
    handle(new Event.GenerationRequested(CALLER, CREDENTIAL, SERVICE, "a ledger", maximumTokens));
    awaitAttempts(1);
    return attempts().get(0);
  }

  /** Returns the attempts that engines were asked for, in their order. */
  List<Action.StartAttempt> attempts() {
    return of(Action.StartAttempt.class);
  }

  /** Returns the actions of a kind, in their order. */
  <T extends Action> List<T> of(Class<T> kind) {
    return actions.stream().filter(kind::isInstance).map(kind::cast).toList();
  }

  /** Has an attempt bring tokens from one offset up to another. */
  void tokens(Action.StartAttempt attempt, int from, int to) {
    for (int offset = from; offset < to; offset++) {
      now += 10;
      String token = "token " + offset;
      handle(new Event.TokenArrived(attempt.spec().request(), attempt.attempt(), offset, token, 1));
    }
  }

  /** Has the engine of an attempt say that the generation is whole. */
  void finish(Action.StartAttempt attempt, int length) {
    handle(new Event.AttemptFinished(attempt.spec().request(), attempt.attempt(), length));
  }

  /** Returns whether the caller was told that its answer is whole. */
  boolean isEnded() {
    return !of(Action.EndStream.class).isEmpty();
  }
}
