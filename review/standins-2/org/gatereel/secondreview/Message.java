package org.gatereel.secondreview;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** One HTTP/1.1 message with its body; header names are in lower case. */
record Message(String startLine, Map<String, String> headers, byte[] body) {

  /** Reads a message; returns null at the end of the connection. */
  static Message read(InputStream input) throws IOException {
    String startLine = readLine(input);
    if (startLine == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = readLine(input); line != null && !line.isEmpty(); line = readLine(input)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).strip().toLowerCase(Locale.ROOT),
          line.substring(colon + 1).strip());
    }
    return new Message(startLine, headers, readBody(input, headers));
  }

  private static byte[] readBody(InputStream input, Map<String, String> headers)
      throws IOException {
    if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
      return readChunks(input);
    }
    return readExactly(input, Integer.parseInt(headers.getOrDefault("content-length", "0")));
  }

  private static byte[] readChunks(InputStream input) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      String size = readLine(input);
      if (size == null) {
        throw new IOException("the connection ended within a body");
      }
      int length = Integer.parseInt(size.strip(), 16);
      body.writeBytes(readExactly(input, length));
      readLine(input);
      if (length == 0) {
        return body.toByteArray();
      }
    }
  }

  private static byte[] readExactly(InputStream input, int length) throws IOException {
    byte[] bytes = input.readNBytes(length);
    if (bytes.length < length) {
      throw new IOException("the connection ended within a body");
    }
    return bytes;
  }

  private static String readLine(InputStream input) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = input.read(); next != '\n'; next = input.read()) {
      if (next < 0) {
        return null;
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  String header(String name) {
    return headers.getOrDefault(name, "");
  }

  String path() {
    return startLine.split(" ")[1];
  }

  /** Returns the status of a response. */
  int status() {
    return Integer.parseInt(startLine.split(" ")[1]);
  }

  /** Returns the bytes of a response with a length; headers end with a line break each. */
  static byte[] response(int status, String headers, String body) {
    byte[] content = body.getBytes(StandardCharsets.UTF_8);
    String head =
        "HTTP/1.1 %d Status\r\n%sContent-Length: %d\r\n\r\n"
            .formatted(status, headers, content.length);
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(head.getBytes(StandardCharsets.ISO_8859_1));
    bytes.writeBytes(content);
    return bytes.toByteArray();
  }
}
