package org.gatereel.proofs.world;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.Event;
import org.gatereel.core.model.Problem;
import org.gatereel.core.table.RowChange;
import org.gatereel.core.table.RowKey;
import org.gatereel.core.table.TableEdit;

/** An operator who makes one edit, and sends the same edit id again when in doubt. */
public final class Operator implements FakeCaller {
  private static final long SILENCE = 6_000;
  private static final int MOST_SENDS = 6;

  private final World world;
  private final String editId;
  private final RowKey row;
  private final Map<String, String> cells;
  private long exchange;
  private int sends;
  private long basedOn;
  private Optional<TableEdit> accepted = Optional.empty();
  private Optional<TableEdit> lostTo = Optional.empty();
  private Optional<Problem> problem = Optional.empty();

  public Operator(World world, String editId, RowKey row, Map<String, String> cells) {
    this.world = world;
    this.editId = editId;
    this.row = row;
    this.cells = cells;
  }

  /** Edits the row, based on what the host has in force now. */
  public void edit(FakeHost host) {
    if (!host.isDead()) {
      basedOn = host.core().table().row(row).map(present -> present.revision()).orElse(0L);
    }
    send(host);
  }

  private void send(FakeHost host) {
    sends++;
    exchange = world.nextCaller();
    long sent = exchange;
    if (!host.isDead()) {
      host.connect(
          exchange,
          this,
          new Event.EditRequested(
              exchange, "operator", editId, new RowChange(row, basedOn, false, cells), 0));
    }
    world.after(host.isDead() ? 20 : SILENCE, () -> sendElsewhere(sent));
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
    if (action instanceof Action.ConfirmEdit confirm) {
      accepted = Optional.of(confirm.edit());
      world.oracle().accepted(confirm.edit());
    } else if (action instanceof Action.ReportLostRace lost) {
      lostTo = Optional.of(lost.present());
    } else if (action instanceof Action.SendProblem refuse) {
      if (refuse.problem().retryAfterMillis() > 0 && sends < MOST_SENDS) {
        world.after(refuse.problem().retryAfterMillis(), () -> sendElsewhere(from));
      } else {
        problem = Optional.of(refuse.problem());
      }
    }
  }

  public String editId() {
    return editId;
  }

  public Optional<TableEdit> accepted() {
    return accepted;
  }

  public Optional<TableEdit> lostTo() {
    return lostTo;
  }

  @Override
  public boolean isDone() {
    return accepted.isPresent() || lostTo.isPresent() || problem.isPresent();
  }

  @Override
  public String toString() {
    return editId + " accepted=" + accepted + " lost=" + lostTo + " problem=" + problem;
  }
}
