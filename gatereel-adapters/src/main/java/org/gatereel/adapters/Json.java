package org.gatereel.adapters;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import okhttp3.MediaType;

/** The JSON mapper of the adapters; it ignores unknown fields. */
public final class Json {
  public static final ObjectMapper MAPPER =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();
  public static final MediaType TYPE = MediaType.get("application/json");

  private Json() {}
}
