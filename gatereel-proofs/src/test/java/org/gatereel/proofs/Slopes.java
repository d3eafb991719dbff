package org.gatereel.proofs;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.gatereel.core.EntryHost;
import org.gatereel.core.action.Action;
import org.gatereel.core.edit.TableEditCodec;
import org.gatereel.core.event.Event;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.GenerationSpec;
import org.gatereel.core.model.HostDescription;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.LifeState;
import org.gatereel.core.model.RequestId;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.peer.PeerMessage;
import org.gatereel.core.table.Row;
import org.gatereel.core.table.RowKey;
import org.gatereel.core.table.RowKind;
import org.gatereel.core.table.TableEdit;

/** Measures memory and processor time of single parts of the core, for docs/CAPACITY.md. */
final class Slopes {
  private static final DataCentre HALL = new DataCentre("vic");
  private static final HostId OWNER = new HostId("owner");
  private static final int COPIES = 2_000;
  private static final int TOKENS = 500;
  private static final int ACCOUNTS = 10_000;
  private static final String PROMPT = "p".repeat(2_000);

  private final PrintStream out;

  Slopes(PrintStream out) {
    this.out = out;
  }

  void print() {
    copies();
    accounts();
    members();
  }

  private static EntryHost host() {
    EntryHost host = new EntryHost(new HostId("holder"), HALL, new SplittableRandom(1));
    host.start(1, List.of(description("owner")));
    return host;
  }

  private static HostDescription description(String name) {
    Address address = new Address("127.0.0.1", 1);
    return new HostDescription(new HostId(name), HALL, address, address, LifeState.LIVE);
  }

  private static long usedBytes() {
    for (int round = 0; round < 3; round++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private void copies() {
    EntryHost host = host();
    long before = usedBytes();
    for (int copy = 0; copy < COPIES; copy++) {
      GenerationSpec spec =
          new GenerationSpec(
              new RequestId("r" + copy),
              new AccountId("account"),
              new ServiceName("narrator"),
              PROMPT + copy,
              TOKENS,
              5);
      say(host, new PeerMessage.CopyOpen(spec, 1, List.of(), false));
    }
    long opened = usedBytes();
    out.printf("copy without tokens, prompt of 2,000: %d bytes%n", (opened - before) / COPIES);
    long begin = System.nanoTime();
    for (int token = 0; token < TOKENS; token++) {
      for (int copy = 0; copy < COPIES; copy++) {
        PeerMessage append =
            new PeerMessage.CopyAppend(
                new RequestId("r" + copy), 1, token, List.of("token" + copy + token), false);
        say(host, append);
      }
    }
    double appends = (double) COPIES * TOKENS;
    out.printf("append of a token at the holder: %.0f ns%n", (System.nanoTime() - begin) / appends);
    out.printf("token in a copy: %.1f bytes%n", (usedBytes() - opened) / appends);
    out.println("copies held: " + host.status().heldCopies());
  }

  private static void say(EntryHost host, PeerMessage message) {
    List<Action> actions = host.handle(new Event.PeerMessageReceived(OWNER, message), 1);
    if (actions.isEmpty()) {
      throw new IllegalStateException("a copy message is always answered");
    }
  }

  private void accounts() {
    EntryHost host = host();
    long before = usedBytes();
    List<TableEdit> edits = new ArrayList<>();
    for (int number = 1; number <= ACCOUNTS; number++) {
      java.util.TreeMap<String, String> cells = new java.util.TreeMap<>();
      cells.put("key_sha256", String.format("%064x", number));
      cells.put("account_weight", "10");
      RowKey key = new RowKey(RowKind.ACCOUNT, "account-" + number);
      edits.add(new TableEdit(new Row(key, number, false, cells), "edit-" + number, "asha", 0));
    }
    int wireBytes = TableEditCodec.encode(edits.get(ACCOUNTS - 1)).length();
    host.handle(
        new Event.PeerMessageReceived(
            OWNER, new PeerMessage.TablePush(ACCOUNTS, List.copyOf(edits))),
        1);
    edits.clear();
    out.printf(
        "row of an account in the table: %d bytes in memory, %d as JSON%n",
        (usedBytes() - before) / ACCOUNTS, wireBytes);
    out.println("revision in force: " + host.status().revision());
  }

  private void members() {
    for (int count : new int[] {9, 90, 370}) {
      List<HostDescription> seeds = new ArrayList<>();
      for (int number = 0; number < count; number++) {
        seeds.add(description("host-" + number));
      }
      EntryHost host = new EntryHost(new HostId("host-0"), HALL, new SplittableRandom(1));
      host.start(1, seeds);
      long beats = 0;
      long begin = System.nanoTime();
      for (long now = 1; now <= 10_000; now += 500) {
        for (int number = 1; number < count; number++) {
          // Keeps every neighbour answering, so that only heartbeats are counted.
          PeerMessage beat = new PeerMessage.Heartbeat(0, false, List.of());
          host.handle(new Event.PeerMessageReceived(new HostId("host-" + number), beat), now);
        }
        beats +=
            host.advance(now).stream().filter(action -> action instanceof Action.SendPeer).count();
      }
      out.printf(
          "%d hosts: %.1f messages a second to peers while idle, %.2f ms of processor a second%n",
          count, beats / 10.0, (System.nanoTime() - begin) / 1e7);
    }
  }
}
