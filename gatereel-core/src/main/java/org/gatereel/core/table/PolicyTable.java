package org.gatereel.core.table;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.ServiceName;

/**
 * The rows of the policy table at one revision.
 *
 * <p>The revision only increases, by the next edit or by a whole table of a higher revision, so
 * that a stale read or a late message never restores an earlier policy.
 */
public final class PolicyTable {
  private static final int MAX_RECENT_EDITS = 512;

  private static final int DEFAULT_WEIGHT =
      Integer.parseInt(Column.DATA_CENTRE_WEIGHT.defaultValue());

  private final SortedMap<RowKey, TableEdit> latestByKey = new TreeMap<>();
  private final Map<String, Row> accountsByCredential = new HashMap<>();
  private final List<TableEdit> recentEdits = new ArrayList<>();
  private long revision;

  public long revision() {
    return revision;
  }

  /** Applies an edit if it is the next one; returns whether it did. */
  public boolean apply(TableEdit edit) {
    if (edit.revision() != revision + 1) {
      return false;
    }
    put(edit);
    revision = edit.revision();
    recentEdits.add(edit);
    if (recentEdits.size() > MAX_RECENT_EDITS) {
      recentEdits.remove(0);
    }
    return true;
  }

  /** Replaces the whole table if the new revision is higher; returns whether it did. */
  public boolean replace(long newRevision, Collection<TableEdit> latestEdits) {
    if (newRevision <= revision) {
      return false;
    }
    latestByKey.clear();
    accountsByCredential.clear();
    recentEdits.clear();
    latestEdits.forEach(this::put);
    revision = newRevision;
    return true;
  }

  /** Returns the edits after a revision, or empty if not all of them are still kept. */
  public Optional<List<TableEdit>> editsAfter(long knownRevision) {
    List<TableEdit> edits =
        recentEdits.stream().filter(edit -> edit.revision() > knownRevision).toList();
    return edits.size() == revision - knownRevision ? Optional.of(edits) : Optional.empty();
  }

  /** Returns the latest edit of each row, including deleted rows, in the order of revisions. */
  public List<TableEdit> latestEdits() {
    return latestByKey.values().stream().sorted(Comparator.comparing(TableEdit::revision)).toList();
  }

  /** Returns the rows that are not deleted. */
  public List<Row> rows() {
    return latestByKey.values().stream().map(TableEdit::row).filter(row -> !row.deleted()).toList();
  }

  /** Returns the latest edit of a row, even if it deleted the row. */
  public Optional<TableEdit> latestEdit(RowKey key) {
    return Optional.ofNullable(latestByKey.get(key));
  }

  public Optional<Row> row(RowKey key) {
    return latestEdit(key).map(TableEdit::row).filter(row -> !row.deleted());
  }

  public Optional<Row> service(ServiceName service) {
    return row(new RowKey(RowKind.SERVICE, service.value()));
  }

  public Optional<Row> accountWithCredential(String credential) {
    return Optional.ofNullable(accountsByCredential.get(credential));
  }

  /** Returns the weight of a data centre; one without a row has the default weight. */
  public int weight(DataCentre dataCentre) {
    if (latestByKey.isEmpty()) {
      return DEFAULT_WEIGHT;
    }
    return row(new RowKey(RowKind.DATA_CENTRE, dataCentre.value()))
        .map(row -> row.intValue(Column.DATA_CENTRE_WEIGHT))
        .orElse(DEFAULT_WEIGHT);
  }

  /**
   * Returns the row after a change, without applying it.
   *
   * @throws InvalidEditException if the change violates a rule, or the row's name is not allowed
   */
  public Row preview(RowChange change) throws InvalidEditException {
    RowNames.check(change.key());
    Row present =
        row(change.key()).orElseGet(() -> new Row(change.key(), 0, false, new TreeMap<>()));
    Row changed = present.withChange(change, revision + 1);
    checkCredentialIsNotShared(changed);
    return changed;
  }

  private void checkCredentialIsNotShared(Row changed) throws InvalidEditException {
    Row other = accountsByCredential.get(changed.text(Column.KEY_SHA256));
    boolean shared = other != null && !other.key().equals(changed.key());
    if (shared && changed.key().kind() == RowKind.ACCOUNT && !changed.deleted()) {
      throw new InvalidEditException(
          changed.key().toString(),
          Column.KEY_SHA256.externalName(),
          "is the key of " + other.key());
    }
  }

  private void put(TableEdit edit) {
    TableEdit previousEdit = latestByKey.put(edit.row().key(), edit);
    if (edit.row().key().kind() != RowKind.ACCOUNT) {
      return;
    }
    if (previousEdit != null) {
      accountsByCredential.remove(previousEdit.row().text(Column.KEY_SHA256));
    }
    String credential = edit.row().text(Column.KEY_SHA256);
    if (!edit.row().deleted() && !credential.isEmpty()) {
      accountsByCredential.put(credential, edit.row());
    }
  }
}
