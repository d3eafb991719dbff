package org.gatereel.proofs.matrix;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.gatereel.core.action.Action;
import org.gatereel.core.table.RowKey;
import org.gatereel.core.table.RowKind;
import org.gatereel.proofs.Promise;
import org.gatereel.proofs.world.FakeHost;
import org.gatereel.proofs.world.HistoryCheck;
import org.gatereel.proofs.world.Operator;

/** One edit, and perhaps a rival one. */
final class EditScene extends Scene {
  static final RowKey ROW = new RowKey(RowKind.SERVICE, "assistant");
  static final RowKey OTHER_ROW = new RowKey(RowKind.SERVICE, "points");
  private static final long IN_FORCE_MILLIS = 14_000;

  private final List<Operator> operators = new ArrayList<>();
  private final FakeHost host = world().hosts().get(0);

  EditScene(long seed) {
    super(seed);
  }

  @Override
  void note(FakeHost from, Action action) {
    // Who plays which part is known from the start.
  }

  @Override
  void begin() {
    edit(ROW, host, "200");
  }

  private void edit(RowKey row, FakeHost at, String patience) {
    Operator operator =
        new Operator(world(), "edit-" + operators.size(), row, Map.of("patience_millis", patience));
    operators.add(operator);
    operator.edit(at);
  }

  /** Has another operator edit a row at the same time in another data centre. */
  void rival(RowKey row) {
    List<FakeHost> others = world().hosts();
    edit(row, others.get(others.size() - 1), "300");
  }

  FakeHost host() {
    return host;
  }

  @Override
  boolean isDone() {
    return operators.stream().allMatch(Operator::isDone);
  }

  @Override
  void checkEnd(List<String> faults) {
    world().runUntil(world().now() + HEAL + IN_FORCE_MILLIS);
    HistoryCheck.check(world());
    if (!isDone()) {
      violated(Promise.EDITS_HOLD, "no end: " + operators);
    }
  }
}
