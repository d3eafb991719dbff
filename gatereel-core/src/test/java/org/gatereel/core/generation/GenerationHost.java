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

/** An entry host without peers. The test supplies the time and the events of the engines. */
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
    insertRow(1, RowKind.ACCOUNT, "ward", Map.of("key_sha256", CREDENTIAL));
    insertRow(2, RowKind.SERVICE, "assistant", Map.of("kind", "generation"));
    handleActions(core.start(now, List.of()));
    publishTargets(LifeState.LIVE);
  }

  private void insertRow(long revision, RowKind kind, String name, Map<String, String> cells) {
    Row row = new Row(new RowKey(kind, name), revision, false, new TreeMap<>(cells));
    String text = TableEditCodec.encode(new TableEdit(row, "seed-" + revision, "seed", 0));
    table.put("policy/row/" + row.key(), text);
    table.put("policy/history/" + String.format("%012d", revision), text);
    table.put("policy/revision", Long.toString(revision));
  }

  private void handleActions(List<Action> newActions) {
    actions.addAll(newActions);
    for (Action action : newActions) {
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
    handleActions(core.handle(event, now));
  }

  /** Sends the host a list of the engines with {@code first} as the state of the first one. */
  void publishTargets(LifeState first) {
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
    handle(new Event.HostListReceived(new HostList(++listVersion, List.of(), targets)));
  }

  /** Advances the time until the host has started {@code count} attempts in all. */
  void awaitAttempts(int count) {
    for (int step = 0; attempts().size() < count && step < 10_000; step++) {
      now++;
      handleActions(core.advance(now));
    }
    if (attempts().size() < count) {
      throw new AssertionError("attempts: " + attempts());
    }
  }

  /** Requests a generation and returns its first attempt. */
  Action.StartAttempt request(int maximumTokens) {
    handle(new Event.GenerationRequested(CALLER, CREDENTIAL, SERVICE, "a ledger", maximumTokens));
    awaitAttempts(1);
    return attempts().get(0);
  }

  /** Returns the attempts in the order of their start. */
  List<Action.StartAttempt> attempts() {
    return actionsOf(Action.StartAttempt.class);
  }

  /** Returns the actions of a type, in their order. */
  <T extends Action> List<T> actionsOf(Class<T> type) {
    return actions.stream().filter(type::isInstance).map(type::cast).toList();
  }

  /** Delivers the tokens of an attempt from one offset up to, but not including, another. */
  void tokens(Action.StartAttempt attempt, int from, int to) {
    for (int offset = from; offset < to; offset++) {
      now += 10;
      String token = "token " + offset;
      handle(new Event.TokenArrived(attempt.spec().request(), attempt.attempt(), offset, token, 1));
    }
  }

  /** Finishes an attempt at a length in tokens. */
  void finish(Action.StartAttempt attempt, int length) {
    handle(new Event.AttemptFinished(attempt.spec().request(), attempt.attempt(), length));
  }

  /** Returns whether the caller has received the end of its stream. */
  boolean isEnded() {
    return !actionsOf(Action.EndStream.class).isEmpty();
  }
}
