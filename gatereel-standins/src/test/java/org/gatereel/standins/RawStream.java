package org.gatereel.standins;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A caller's connection with a generation's stream, read as the bytes that came. */
final class RawStream implements AutoCloseable {
  /** The end of an answer in chunks. */
  static final String LAST_CHUNK = "\r\n0\r\n\r\n";

  private static final int PATIENCE_MILLIS = 30_000;
  private static final Pattern TOKEN_ID = Pattern.compile("id: (\\S+)\nevent: token\n");
  private static final Pattern ANY_ID = Pattern.compile("id: (\\S+)\n");

  private final Socket socket;
  private final StringBuilder read = new StringBuilder();

  private RawStream(Socket socket) {
    this.socket = socket;
  }

  /** Asks a host for a generation; {@code headers} are lines with their ends. */
  static RawStream ask(int port, String version, String headers, String body) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout(PATIENCE_MILLIS);
    String request =
        "POST /v1/generations "
            + version
            + "\r\nHost: localhost\r\nContent-Type: application/json\r\nContent-Length: "
            + body.length()
            + "\r\n"
            + headers
            + "\r\n"
            + body;
    socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
    return new RawStream(socket);
  }

  /** Reads until so many tokens have come. */
  RawStream awaitTokens(int count) throws IOException {
    while (tokenIds().size() < count) {
      if (!readMore()) {
        throw new IOException("the stream ended early: " + read);
      }
    }
    return this;
  }

  /** Reads to the last chunk or the end of the connection, and returns all that ever came. */
  String readToEnd() throws IOException {
    boolean more = true;
    while (more && read.indexOf(LAST_CHUNK) < 0) {
      more = readMore();
    }
    return read.toString();
  }

  private boolean readMore() throws IOException {
    InputStream in = socket.getInputStream();
    byte[] bytes = new byte[4_096];
    int count;
    try {
      count = in.read(bytes);
    } catch (SocketTimeoutException e) {
      throw new IOException("the stream stopped: " + read, e);
    }
    if (count > 0) {
      read.append(new String(bytes, 0, count, StandardCharsets.ISO_8859_1));
    }
    return count > 0;
  }

  /** Returns the ids of the tokens that came so far, each as offset and digest. */
  List<String> tokenIds() {
    List<String> ids = new ArrayList<>();
    Matcher id = TOKEN_ID.matcher(read);
    while (id.find()) {
      String[] parts = id.group(1).split("~", -1);
      ids.add(parts[parts.length - 2] + "~" + parts[parts.length - 1]);
    }
    return ids;
  }

  /** Returns the last id that came. */
  String lastId() {
    String last = "";
    Matcher id = ANY_ID.matcher(read);
    while (id.find()) {
      last = id.group(1);
    }
    return last;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
