package org.gatereel.forward.peer;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Compresses load reports in the zlib format, to less than half of their size.
 *
 * <p>Both sides know the names that each report has, so that a small one shrinks too.
 */
final class ReportCompression implements AutoCloseable {
  /** The first byte in the zlib format with its usual window; JSON never starts with it. */
  private static final byte FORMAT = 0x78;

  /** Later bytes cost less to refer to, so that the most frequent ones are last. */
  private static final byte[] KNOWN_TEXT =
      ("{\"sender\":\"\",\"ip\":\"10.\",\"port\":7200,\"scope\":\"DATA_CENTRE\",\"HOST\",\"EVERYONE_ELSE\","
              + "\"session\":-,\"sequence\":,\"builtOn\":null,\"evidence\":[[\"poison\":[[\"facts\":[["
              + "\"LIMIT\",\"LEAVING\",\"times\":[[\"hasDemandChanges\":true,"
              + "\"demand\":[[\"loads\":[[],\"i-\",1,0,0,0,-1],[\"")
          .getBytes(StandardCharsets.US_ASCII);

  private static final int MAX_REPORT_BYTES = 8 << 20;
  private static final int BUFFER_BYTES = 4_096;

  private final Deflater deflater = new Deflater();

  /** Returns whether bytes are in the format of {@link #compress}. */
  static boolean isCompressed(byte[] bytes) {
    return bytes.length > 0 && bytes[0] == FORMAT;
  }

  byte[] compress(byte[] report) {
    deflater.reset();
    deflater.setDictionary(KNOWN_TEXT);
    deflater.setInput(report);
    deflater.finish();
    ByteArrayOutputStream compressed = new ByteArrayOutputStream();
    byte[] buffer = new byte[BUFFER_BYTES];
    while (!deflater.finished()) {
      compressed.write(buffer, 0, deflater.deflate(buffer));
    }
    return compressed.toByteArray();
  }

  /**
   * Returns the report in compressed bytes.
   *
   * @throws IOException if the bytes are malformed, or hold more than any report has
   */
  static byte[] decompress(byte[] bytes) throws IOException {
    Inflater inflater = new Inflater();
    try {
      return decompress(inflater, bytes);
    } catch (DataFormatException e) {
      throw new IOException("a compressed load report is malformed", e);
    } finally {
      inflater.end();
    }
  }

  private static byte[] decompress(Inflater inflater, byte[] bytes)
      throws IOException, DataFormatException {
    inflater.setInput(bytes);
    ByteArrayOutputStream report = new ByteArrayOutputStream();
    byte[] buffer = new byte[BUFFER_BYTES];
    while (!inflater.finished()) {
      int count = inflater.inflate(buffer);
      report.write(buffer, 0, count);
      if (inflater.needsDictionary()) {
        inflater.setDictionary(KNOWN_TEXT);
      } else if (count == 0 && !inflater.finished()) {
        throw new IOException(
            "a compressed load report ends early after " + bytes.length + " bytes");
      }
      if (report.size() > MAX_REPORT_BYTES) {
        throw new IOException("a load report exceeds " + MAX_REPORT_BYTES + " bytes");
      }
    }
    return report.toByteArray();
  }

  @Override
  public void close() {
    deflater.end();
  }
}
