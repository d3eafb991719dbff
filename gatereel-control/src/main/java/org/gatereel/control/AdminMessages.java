package org.gatereel.control;

import java.util.List;
import java.util.Map;
import org.gatereel.core.table.Row;
import org.gatereel.core.table.TableEdit;

/** The JSON bodies of the administration API. */
public final class AdminMessages {
  private AdminMessages() {}

  /** The table at one revision. */
  public record Table(long revision, List<Row> rows) {}

  /** The edits after a revision. */
  public record History(List<TableEdit> edits) {}

  /** An edit; {@code basedOn} is the revision of the row that it was made from. */
  public record Change(String editId, long basedOn, Map<String, String> cells) {}

  /** A problem document; {@code present} is the row in force if the edit conflicted with it. */
  public record Problem(
      String type,
      String title,
      int status,
      String detail,
      String outcome,
      long retryAfterMillis,
      TableEdit present) {}

  /** An event on the timeline of a host. */
  public record TimelineEntry(
      long sequence,
      long wallClockMillis,
      String host,
      int number,
      String name,
      String subject,
      String detail) {}
}
