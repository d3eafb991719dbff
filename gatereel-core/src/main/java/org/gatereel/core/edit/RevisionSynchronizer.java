package org.gatereel.core.edit;

import java.util.ArrayList;
import java.util.List;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.member.Membership;
import org.gatereel.core.model.HostDescription;
import org.gatereel.core.model.HostId;
import org.gatereel.core.peer.PeerMessage;
import org.gatereel.core.platform.PlatformPort;
import org.gatereel.core.platform.ReadResult;
import org.gatereel.core.table.PolicyTable;
import org.gatereel.core.table.TableEdit;

/**
 * Applies accepted edits on this host, from the platform and from peers.
 *
 * <p>Each host polls the revision at an interval proportional to the number of hosts in its data
 * centre, so that the read rate of a data centre stays constant. A host that applies a new edit
 * sends it to a few peers, which forward it. Heartbeats contain the revision; a host with a lower
 * one fetches the missing edits.
 */
public final class RevisionSynchronizer {
  private static final int READS_PER_SECOND_PER_DATA_CENTRE = 3;
  private static final long MIN_POLL_INTERVAL_MILLIS = 1_000;
  private static final int MILLIS_PER_SECOND = 1_000;
  private static final int FAN_OUT = 6;

  private final CoreContext context;
  private final PolicyTable table;
  private final Membership members;
  private final PlatformPort platform;
  private final List<Runnable> refreshListeners = new ArrayList<>();
  private boolean reading;

  public RevisionSynchronizer(
      CoreContext context, PolicyTable table, Membership members, PlatformPort platform) {
    this.context = context;
    this.table = table;
    this.members = members;
    this.platform = platform;
  }

  /** Starts polling, and fetches edits from some peers. */
  public void start() {
    members.reachablePeers().stream()
        .limit(FAN_OUT)
        .forEach(peer -> send(peer.id(), new PeerMessage.EditsFetch(table.revision())));
    poll();
  }

  private void poll() {
    int hosts = members.respondingHosts(context.dataCentre()).size();
    long intervalMillis =
        Math.max(
            MIN_POLL_INTERVAL_MILLIS,
            (long) hosts * MILLIS_PER_SECOND / READS_PER_SECOND_PER_DATA_CENTRE);
    long jitterMillis = context.random().nextLong(intervalMillis / 2);
    context.schedule(intervalMillis * 3 / 4 + jitterMillis, this::poll);
    refresh(() -> {});
  }

  /** Reads the platform's table and runs {@code callback} once it is applied or the read failed. */
  void refresh(Runnable callback) {
    refreshListeners.add(callback);
    if (reading) {
      return;
    }
    reading = true;
    if (table.revision() == 0) {
      platform.scan(TableKeys.ROW, "", this::handleRows);
    } else {
      platform.read(List.of(TableKeys.REVISION), this::handleRevision);
    }
  }

  private void handleRevision(ReadResult result) {
    long latest = 0;
    if (result instanceof ReadResult.Rows rows) {
      latest = Long.parseLong(rows.rows().getOrDefault(TableKeys.REVISION, "0"));
    }
    if (latest > table.revision()) {
      platform.scan(TableKeys.HISTORY, TableKeys.history(table.revision()), this::handleHistory);
    } else {
      completeRefresh();
    }
  }

  private void handleHistory(ReadResult result) {
    if (result instanceof ReadResult.Rows rows) {
      applyEdits(TableHistory.decode(rows.rows()));
    }
    completeRefresh();
  }

  private void handleRows(ReadResult result) {
    if (result instanceof ReadResult.Rows rows) {
      replaceTable(TableHistory.decode(rows.rows()));
    }
    completeRefresh();
  }

  private void completeRefresh() {
    reading = false;
    List<Runnable> listeners = List.copyOf(refreshListeners);
    refreshListeners.clear();
    listeners.forEach(Runnable::run);
  }

  /** Applies the edits that directly follow the current revision, and sends them to peers. */
  void applyEdits(List<TableEdit> edits) {
    List<TableEdit> applied = new ArrayList<>();
    for (TableEdit edit : edits) {
      if (table.apply(edit)) {
        applied.add(edit);
        context.logEvent(
            EventCode.REVISION_IN_FORCE,
            Long.toString(edit.revision()),
            edit.row().key() + " by " + edit.operator());
      }
    }
    if (!applied.isEmpty()) {
      sendToPeers(new PeerMessage.EditsPush(applied));
    }
  }

  private void replaceTable(List<TableEdit> latestEdits) {
    long revision = latestEdits.stream().mapToLong(TableEdit::revision).max().orElse(0);
    if (table.replace(revision, latestEdits)) {
      context.logEvent(EventCode.REVISION_IN_FORCE, Long.toString(revision), "whole table");
    }
  }

  private void sendToPeers(PeerMessage message) {
    List<HostDescription> peers = new ArrayList<>(members.reachablePeers());
    for (int sent = 0; sent < FAN_OUT && !peers.isEmpty(); sent++) {
      HostDescription peer = peers.remove(context.random().nextInt(peers.size()));
      send(peer.id(), message);
    }
  }

  /** Fetches edits from a peer with a higher revision. */
  public void handlePeerRevision(HostId peer, long revision) {
    if (revision > table.revision()) {
      send(peer, new PeerMessage.EditsFetch(table.revision()));
    }
  }

  /** Applies the edits of a peer; fetches the edits before them if some are missing. */
  public void handleEditsPush(HostId from, PeerMessage.EditsPush push) {
    applyEdits(push.edits());
    boolean gap = push.edits().stream().anyMatch(edit -> edit.revision() > table.revision());
    if (gap) {
      send(from, new PeerMessage.EditsFetch(table.revision()));
    }
  }

  public void handleTablePush(PeerMessage.TablePush push) {
    replaceTable(push.latestEdits());
  }

  /** Sends a peer the edits that it lacks, or the whole table if they are no longer kept. */
  public void handleEditsFetch(HostId from, PeerMessage.EditsFetch fetch) {
    if (fetch.haveRevision() >= table.revision()) {
      return;
    }
    PeerMessage response =
        table
            .editsAfter(fetch.haveRevision())
            .<PeerMessage>map(PeerMessage.EditsPush::new)
            .orElseGet(() -> new PeerMessage.TablePush(table.revision(), table.latestEdits()));
    send(from, response);
  }

  private void send(HostId peer, PeerMessage message) {
    context.emit(new Action.SendPeer(peer, message));
  }
}
