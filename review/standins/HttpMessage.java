package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A request or response as read from a connection; header names are in lower case. */
public record HttpMessage(String firstLine, Map<String, String> headers, byte[] body) {
  private static final int HEX = 16;

  /** Reads the next message; null if the connection ends before its first byte. */
  public static HttpMessage read(InputStream input) throws IOException {
    String firstLine = line(input);
    if (firstLine == null) {
      return null;
    }
    Map<String, String> headers = headers(input);
    return new HttpMessage(firstLine, headers, body(input, headers));
  }

  private static Map<String, String> headers(InputStream input) throws IOException {
    Map<String, String> headers = new TreeMap<>();
    for (String line = line(input); !"".equals(line); line = line(input)) {
      if (line == null) {
        throw new EOFException("connection ended within a head");
      }
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    return headers;
  }

  private static byte[] body(InputStream input, Map<String, String> headers) throws IOException {
    if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
      return chunks(input);
    }
    return exactly(input, Integer.parseInt(headers.getOrDefault("content-length", "0")));
  }

  private static byte[] chunks(InputStream input) throws IOException {
    ByteArrayOutputStream whole = new ByteArrayOutputStream();
    while (true) {
      String size = line(input);
      if (size == null) {
        throw new EOFException("connection ended within a chunked body");
      }
      int length = Integer.parseInt(size.strip(), HEX);
      whole.writeBytes(exactly(input, length));
      line(input);
      if (length == 0) {
        return whole.toByteArray();
      }
    }
  }

  private static byte[] exactly(InputStream input, int length) throws IOException {
    byte[] bytes = input.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("connection ended after " + bytes.length + " of " + length + " bytes");
    }
    return bytes;
  }

  private static String line(InputStream input) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int next = input.read(); next >= 0; next = input.read()) {
      if (next == '\n') {
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      bytes.write(next);
    }
    if (bytes.size() > 0) {
      throw new EOFException("connection ended within a line");
    }
    return null;
  }

  public String header(String name) {
    return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
  }

  /** Returns the request target of a request. */
  public String target() {
    return firstLine.split(" ")[1];
  }

  /** Returns the status of a response. */
  public int status() {
    return Integer.parseInt(firstLine.split(" ")[1]);
  }
}
