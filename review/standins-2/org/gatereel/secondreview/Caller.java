package org.gatereel.secondreview;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection to a host. */
final class Caller implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int READ_TIMEOUT_MILLIS = 6_500;

  private final Socket socket = new Socket();
  private final InputStream input;

  Caller(String address) throws IOException {
    String[] parts = address.split(":");
    socket.connect(
        new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), CONNECT_TIMEOUT_MILLIS);
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    socket.setTcpNoDelay(true);
    input = new BufferedInputStream(socket.getInputStream());
  }

  /** Sends a request and reads its response; fails if the connection ends before. */
  Message exchange(String request) throws IOException {
    send(request);
    Message response = Message.read(input);
    if (response == null) {
      throw new IOException("the connection ended without a response");
    }
    return response;
  }

  void send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Returns the text of a request of the example configuration. */
  static String request(String method, String path, String id, long remainingMillis) {
    return """
        %s %s HTTP/1.1\r
        Host: a.example\r
        X-Attempt-Id: %s\r
        X-Time-Remaining: %d\r
        Api-Key: key-1\r
        Content-Length: 0\r
        \r
        """
        .formatted(method, path, id, remainingMillis);
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // The connection has ended already.
    }
  }
}
