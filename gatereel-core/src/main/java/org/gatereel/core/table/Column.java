package org.gatereel.core.table;

import java.util.Locale;
import java.util.Optional;

/** The typed columns of the table, each with its kind of row, its default value and its range. */
public enum Column {
  KEY_SHA256(RowKind.ACCOUNT, ColumnType.KEY_HASH, "", 0, 0, "hash of the bearer key"),
  ACCOUNT_WEIGHT(
      RowKind.ACCOUNT, ColumnType.WHOLE_NUMBER, "10", 1, 1000, "share of targets when short"),
  CONCURRENT_LIMIT(
      RowKind.ACCOUNT, ColumnType.WHOLE_NUMBER, "64", 1, 100_000, "open requests at one host"),
  PRIORITY(RowKind.ACCOUNT, ColumnType.WHOLE_NUMBER, "5", 0, 9, "0 goes first at engines"),
  KIND(RowKind.SERVICE, ColumnType.SERVICE_KIND, "generation", 0, 0, "generation or call"),
  REPEATABLE(
      RowKind.SERVICE, ColumnType.TRUTH, "false", 0, 0, "whether a call may run more than once"),
  PLACEMENT(RowKind.SERVICE, ColumnType.PLACEMENT, "two-choices", 0, 0, "how a target is chosen"),
  SECOND_PLACEMENT(
      RowKind.SERVICE, ColumnType.PLACEMENT, "two-choices", 0, 0, "placement of the second arm"),
  SECOND_SHARE(
      RowKind.SERVICE, ColumnType.WHOLE_NUMBER, "0", 0, 100, "requests in 100 on the second arm"),
  SUSPICION(
      RowKind.SERVICE, ColumnType.SUSPICION, "balanced", 0, 0, "how soon silence means death"),
  COPYING(RowKind.SERVICE, ColumnType.COPYING, "other-hall", 0, 0, "where copies are held"),
  PATIENCE_MILLIS(
      RowKind.SERVICE, ColumnType.WHOLE_NUMBER, "5000", 50, 600_000, "longest wait for a target"),
  CALL_TIMEOUT_MILLIS(
      RowKind.SERVICE, ColumnType.WHOLE_NUMBER, "5000", 50, 600_000, "longest run of a call"),
  RETRY_PERCENT(
      RowKind.SERVICE, ColumnType.WHOLE_NUMBER, "10", 0, 100, "retries for each 100 requests"),
  MAXIMUM_TOKENS(
      RowKind.SERVICE, ColumnType.WHOLE_NUMBER, "4096", 1, 1_000_000, "longest generation"),
  DATA_CENTRE_WEIGHT(
      RowKind.DATA_CENTRE, ColumnType.WHOLE_NUMBER, "10", 0, 1000, "0 takes no new work");

  private final RowKind rowKind;
  private final ColumnType type;
  private final String defaultValue;
  private final long minimum;
  private final long maximum;
  private final String description;

  Column(
      RowKind rowKind,
      ColumnType type,
      String defaultValue,
      long minimum,
      long maximum,
      String description) {
    this.rowKind = rowKind;
    this.type = type;
    this.defaultValue = defaultValue;
    this.minimum = minimum;
    this.maximum = maximum;
    this.description = description;
  }

  /** Returns the column's name in files and on the command line. */
  public String externalName() {
    return name().toLowerCase(Locale.ROOT);
  }

  public RowKind rowKind() {
    return rowKind;
  }

  /** Returns the value of a cell that is not set. */
  public String defaultValue() {
    return defaultValue;
  }

  public String description() {
    return description;
  }

  /** Returns the rule of this column that {@code text} violates, if any. */
  public Optional<String> findViolation(String text) {
    return type.findViolation(text, minimum, maximum);
  }

  /**
   * Returns the column with an external name for a kind of row.
   *
   * @throws InvalidEditException if rows of this kind have no such column
   */
  public static Column of(RowKey row, String externalName) throws InvalidEditException {
    for (Column column : values()) {
      if (column.rowKind == row.kind() && column.externalName().equals(externalName)) {
        return column;
      }
    }
    throw new InvalidEditException(
        row.toString(),
        externalName,
        "no such column for rows of kind " + row.kind().externalName());
  }
}
