package org.gatereel.proofs.world;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.gatereel.core.edit.TableHistory;
import org.gatereel.core.table.TableEdit;
import org.gatereel.proofs.Oracle;
import org.gatereel.proofs.Promise;

/** Compares the history in the platform's table with what was confirmed and what is in force. */
public final class HistoryCheck {
  private HistoryCheck() {}

  /** Tells the oracle of every difference, once all has had time to spread. */
  public static void check(World world) {
    Oracle oracle = world.oracle();
    List<TableEdit> history = TableHistory.decode(world.platform().history());
    Set<String> ids = new HashSet<>();
    for (TableEdit edit : history) {
      if (!ids.add(edit.editId())) {
        oracle.violated(Promise.EDITS_HOLD, edit.editId() + " was accepted twice");
      }
    }
    for (TableEdit edit : oracle.accepted()) {
      if (!ids.contains(edit.editId())) {
        oracle.violated(
            Promise.EDITS_HOLD, edit.editId() + " was confirmed but is not in the history");
      }
    }
    long latest = history.get(history.size() - 1).revision();
    for (FakeHost host : world.hosts()) {
      if (!host.isDead() && host.core().table().revision() != latest) {
        String detail = host.id() + " has " + host.core().table().revision() + " of " + latest;
        oracle.violated(Promise.EDITS_HOLD, detail);
      }
    }
  }
}
