package org.gatereel.wire;

import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import org.gatereel.core.table.Row;
import org.gatereel.core.table.RowKey;
import org.gatereel.core.table.RowKind;
import org.gatereel.core.table.TableEdit;
import org.gatereel.wire.generated.Cell;
import org.gatereel.wire.generated.Edit;

/** Encodes edits of the table as protobuf and decodes them. */
final class EditCodec {
  private EditCodec() {}

  static List<Edit> encode(List<TableEdit> edits) {
    return edits.stream().map(EditCodec::encode).toList();
  }

  private static Edit encode(TableEdit edit) {
    Edit.Builder builder =
        Edit.newBuilder()
            .setKind(edit.row().key().kind().name())
            .setName(edit.row().key().name())
            .setRevision(edit.revision())
            .setDeleted(edit.row().deleted())
            .setEditId(edit.editId())
            .setOperator(edit.operator())
            .setWallClockMillis(edit.wallClockMillis());
    edit.row()
        .cells()
        .forEach(
            (column, text) -> builder.addCells(Cell.newBuilder().setColumn(column).setText(text)));
    return builder.build();
  }

  static List<TableEdit> decode(List<Edit> edits) {
    return edits.stream().map(EditCodec::decode).toList();
  }

  private static TableEdit decode(Edit edit) {
    SortedMap<String, String> cells = new TreeMap<>();
    edit.getCellsList().forEach(cell -> cells.put(cell.getColumn(), cell.getText()));
    RowKey key = new RowKey(RowKind.valueOf(edit.getKind()), edit.getName());
    Row row = new Row(key, edit.getRevision(), edit.getDeleted(), cells);
    return new TableEdit(row, edit.getEditId(), edit.getOperator(), edit.getWallClockMillis());
  }
}
