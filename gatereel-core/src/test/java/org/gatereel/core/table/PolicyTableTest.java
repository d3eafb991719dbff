package org.gatereel.core.table;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PolicyTableTest {
  private static final RowKey SERVICE = new RowKey(RowKind.SERVICE, "narrator");
  private static final String HASH = "a".repeat(64);

  private static TableEdit edit(RowKey key, long revision, Map<String, String> cells) {
    return new TableEdit(
        new Row(key, revision, false, new TreeMap<>(cells)), "edit-" + revision, "asha", 0);
  }

  @Property(tries = 100, seed = "2")
  void revisionNeverDecreasesForAnyOrderOfEdits(@ForAll long seed) {
    List<TableEdit> edits = new ArrayList<>();
    for (int revision = 1; revision <= 20; revision++) {
      edits.add(edit(SERVICE, revision, Map.of("retry_percent", "" + revision)));
      edits.add(edit(SERVICE, revision, Map.of("retry_percent", "" + revision)));
    }
    Collections.shuffle(edits, new Random(seed));
    PolicyTable table = new PolicyTable();
    for (TableEdit edit : edits) {
      long before = table.revision();
      table.apply(edit);
      assertTrue(table.revision() >= before);
    }
    edits.sort(java.util.Comparator.comparingLong(TableEdit::revision));
    edits.forEach(table::apply);
    assertEquals(20, table.revision());
    assertEquals(20, table.row(SERVICE).orElseThrow().intValue(Column.RETRY_PERCENT));
  }

  @Test
  void ignoresAnOlderWholeTable() {
    PolicyTable table = new PolicyTable();
    table.replace(5, List.of(edit(SERVICE, 5, Map.of("retry_percent", "5"))));
    assertFalse(table.replace(4, List.of(edit(SERVICE, 4, Map.of("retry_percent", "4")))));
    assertEquals(5, table.row(SERVICE).orElseThrow().intValue(Column.RETRY_PERCENT));
  }

  @ParameterizedTest
  @CsvSource({
    "retry_percent, 101",
    "retry_percent, many",
    "repeatable, perhaps",
    "placement, by-taste",
    "no_such_column, 1",
    "account_weight, 5",
  })
  void rejectsAnInvalidCellWithItsRowAndColumn(String column, String text) {
    RowChange change = new RowChange(SERVICE, 0, false, Map.of(column, text));
    InvalidEditException failure =
        assertThrows(InvalidEditException.class, () -> new PolicyTable().preview(change));
    assertEquals("service/narrator", failure.row());
    assertEquals(column, failure.column());
  }

  @Test
  void rejectsAKeyOfAnotherAccount() throws InvalidEditException {
    PolicyTable table = new PolicyTable();
    RowKey first = new RowKey(RowKind.ACCOUNT, "first");
    table.apply(edit(first, 1, Map.of("key_sha256", HASH)));
    RowChange change =
        new RowChange(new RowKey(RowKind.ACCOUNT, "second"), 0, false, Map.of("key_sha256", HASH));
    assertThrows(InvalidEditException.class, () -> table.preview(change));
    table.preview(new RowChange(first, 1, false, Map.of("key_sha256", HASH)));
  }

  @Test
  void everyDefaultValueIsValid() {
    for (Column column : Column.values()) {
      boolean allowed =
          column == Column.KEY_SHA256 || column.findViolation(column.defaultValue()).isEmpty();
      assertTrue(allowed, column.externalName());
    }
  }
}
