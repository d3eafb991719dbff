package org.gatereel.core.edit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.gatereel.core.table.TableEdit;

/** Encodes edits as JSON for the platform's table; equal edits have equal texts. */
public final class TableEditCodec {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  private TableEditCodec() {}

  /** Returns the JSON of an edit. */
  public static String encode(TableEdit edit) {
    try {
      return MAPPER.writeValueAsString(edit);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("failed to encode an edit", e);
    }
  }

  /**
   * Decodes the JSON of an edit.
   *
   * @throws MalformedEditException if the text is not the JSON of an edit
   */
  public static TableEdit decode(String text) throws MalformedEditException {
    try {
      return MAPPER.readValue(text, TableEdit.class);
    } catch (JsonProcessingException e) {
      throw new MalformedEditException(text, e);
    }
  }
}
