package org.gatereel.proofs.world;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.gatereel.core.action.Action;
import org.gatereel.core.edit.TableEditCodec;
import org.gatereel.core.event.Event;
import org.gatereel.core.model.HostDescription;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.HostList;
import org.gatereel.core.model.LifeState;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.platform.ReadResult;
import org.gatereel.core.platform.TableWrite;
import org.gatereel.core.platform.TransactionResult;
import org.gatereel.core.table.Row;
import org.gatereel.core.table.RowKey;
import org.gatereel.core.table.RowKind;
import org.gatereel.core.table.TableEdit;

/** The platform's table and lagging list, with outages, slowness, lost answers and stale reads. */
public final class FakePlatform {
  public static final String KEY = hash("key-of-the-ward-office");
  public static final String OTHER_KEY = hash("key-of-somebody-else");
  private static final long DELAY = 2;
  private static final long TIMEOUT = 1_000;
  private static final long SLOW = 700;
  private static final long LIST_LAG = 3_000;

  private final World world;
  private final TreeMap<String, String> rows = new TreeMap<>();
  private final Map<HostId, HostDescription> hosts = new LinkedHashMap<>();
  private final Map<TargetId, TargetDescription> targets = new LinkedHashMap<>();
  private HostList shown = new HostList(0, List.of(), List.of());
  private TreeMap<String, String> stale;
  private long version;
  private boolean down;
  private boolean slow;
  private int answersToLose;
  private long transactions;

  FakePlatform(World world) {
    this.world = world;
  }

  private static String hash(String key) {
    return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
  }

  void seedTable() {
    List<Row> seeds = new ArrayList<>();
    seeds.add(row(RowKind.ACCOUNT, "ward-office", Map.of("key_sha256", KEY)));
    seeds.add(row(RowKind.ACCOUNT, "somebody-else", Map.of("key_sha256", OTHER_KEY)));
    seeds.add(row(RowKind.SERVICE, "assistant", Map.of("kind", "generation")));
    seeds.add(row(RowKind.SERVICE, "points", Map.of("kind", "call", "repeatable", "false")));
    long revision = 0;
    for (Row seed : seeds) {
      revision++;
      Row numbered = new Row(seed.key(), revision, false, seed.cells());
      String text = TableEditCodec.encode(new TableEdit(numbered, "seed-" + revision, "seed", 0));
      rows.put("policy/row/" + seed.key(), text);
      rows.put("policy/history/" + String.format("%012d", revision), text);
      rows.put("policy/revision", Long.toString(revision));
    }
  }

  private static Row row(RowKind kind, String name, Map<String, String> cells) {
    return new Row(new RowKey(kind, name), 0, false, new TreeMap<>(cells));
  }

  void list(HostDescription host) {
    hosts.put(host.id(), host);
    changed(0);
  }

  void list(TargetDescription target) {
    targets.put(target.id(), target);
    changed(0);
  }

  void listLeaving(TargetId id) {
    TargetDescription was = targets.get(id);
    targets.put(
        id,
        new TargetDescription(
            id,
            was.kind(),
            was.service(),
            was.dataCentre(),
            was.address(),
            was.slots(),
            LifeState.LEAVING));
    changed(LIST_LAG);
  }

  private void changed(long lag) {
    version++;
    HostList list =
        new HostList(version, List.copyOf(hosts.values()), List.copyOf(targets.values()));
    if (lag == 0) {
      shown = list;
    } else {
      world.after(lag, () -> shown = list);
    }
  }

  /** Returns the list that a host sees, if it can read it. */
  Optional<HostList> list(FakeHost host) {
    boolean reachable = !down && !world.network().isCutOff(host.dataCentre());
    return reachable ? Optional.of(shown) : Optional.empty();
  }

  public void down(boolean on) {
    down = on;
  }

  public void slow(boolean on) {
    slow = on;
  }

  /** Loses the answers of the next transactions, which take effect all the same. */
  public void loseAnswers(int count) {
    answersToLose = count;
  }

  /** Has reads answered from what there is now, whatever is written later. */
  public void staleReads(boolean on) {
    stale = on ? new TreeMap<>(rows) : null;
  }

  public long transactions() {
    return transactions;
  }

  /** Returns the accepted edits, as the table has them. */
  public SortedMap<String, String> history() {
    return new TreeMap<>(rows.subMap("policy/history/", "policy/history0"));
  }

  void transact(FakeHost host, Action.Transact transact) {
    if (world.network().isCutOff(host.dataCentre())) {
      // The first packet never arrives, but the host cannot know that.
      answer(host, transact, new TransactionResult.Unknown(), TIMEOUT);
    } else if (down) {
      answer(host, transact, new TransactionResult.NotApplied(), DELAY);
    } else if (slow) {
      boolean tooLate = world.random().nextInt(3) == 0;
      long arrival = tooLate ? TIMEOUT + SLOW : SLOW;
      world.after(
          arrival,
          () -> {
            TransactionResult result = commit(transact.writes());
            if (!tooLate) {
              answer(host, transact, result, DELAY);
            }
          });
      if (tooLate) {
        answer(host, transact, new TransactionResult.Unknown(), TIMEOUT);
      }
    } else {
      world.after(DELAY, () -> commitNow(host, transact));
    }
  }

  private void commitNow(FakeHost host, Action.Transact transact) {
    TransactionResult result = commit(transact.writes());
    if (answersToLose > 0) {
      answersToLose--;
      answer(host, transact, new TransactionResult.Unknown(), TIMEOUT);
    } else {
      answer(host, transact, result, DELAY);
    }
  }

  private void answer(
      FakeHost host, Action.Transact transact, TransactionResult result, long delay) {
    world.after(delay, () -> host.receive(new Event.TransactionEnded(transact.ticket(), result)));
  }

  private TransactionResult commit(List<TableWrite> writes) {
    transactions++;
    Set<String> failed = new HashSet<>();
    Map<String, String> present = new HashMap<>();
    for (TableWrite write : writes) {
      Optional<String> value = Optional.ofNullable(rows.get(write.key()));
      if (!value.equals(write.expected())) {
        failed.add(write.key());
        value.ifPresent(text -> present.put(write.key(), text));
      }
    }
    if (!failed.isEmpty()) {
      return new TransactionResult.Conflict(failed, present);
    }
    writes.forEach(write -> rows.put(write.key(), write.value()));
    return new TransactionResult.Committed();
  }

  void read(FakeHost host, Action.ReadRows read) {
    SortedMap<String, String> found = new TreeMap<>();
    TreeMap<String, String> source = stale == null ? rows : stale;
    for (String key : read.keys()) {
      if (source.containsKey(key)) {
        found.put(key, source.get(key));
      }
    }
    answerRead(host, read.ticket(), found);
  }

  void scan(FakeHost host, Action.ScanRows scan) {
    String from = scan.after().compareTo(scan.prefix()) > 0 ? scan.after() : scan.prefix();
    TreeMap<String, String> source = stale == null ? rows : stale;
    SortedMap<String, String> found = new TreeMap<>();
    for (var row : source.tailMap(from, false).entrySet()) {
      if (!row.getKey().startsWith(scan.prefix())) {
        break;
      }
      found.put(row.getKey(), row.getValue());
    }
    answerRead(host, scan.ticket(), found);
  }

  private void answerRead(FakeHost host, long ticket, SortedMap<String, String> found) {
    if (world.network().isCutOff(host.dataCentre())) {
      world.after(
          TIMEOUT, () -> host.receive(new Event.ReadEnded(ticket, new ReadResult.Failed())));
    } else if (down) {
      world.after(DELAY, () -> host.receive(new Event.ReadEnded(ticket, new ReadResult.Failed())));
    } else {
      world.after(
          slow ? SLOW : 2 * DELAY,
          () -> host.receive(new Event.ReadEnded(ticket, new ReadResult.Rows(found))));
    }
  }
}
