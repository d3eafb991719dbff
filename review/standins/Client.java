package review;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection, which carries one request after the other. */
public final class Client implements AutoCloseable {
  private static final int CONNECT_MILLIS = 1_000;
  private static final int ANSWER_MILLIS = 30_000;
  private static final int SMALL_WINDOW_BYTES = 4_096;

  private final Socket socket = new Socket();
  private final BufferedInputStream input;

  public Client(String address) throws IOException {
    input = new BufferedInputStream(connect(address).getInputStream());
  }

  /** Opens a connection over a link of the given bandwidth, with a small window. */
  public Client(String address, int bytesPerSecond) throws IOException {
    socket.setReceiveBufferSize(SMALL_WINDOW_BYTES);
    input = new BufferedInputStream(new SlowInput(connect(address).getInputStream(), bytesPerSecond));
  }

  private Socket connect(String address) throws IOException {
    int colon = address.indexOf(':');
    socket.connect(
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
        CONNECT_MILLIS);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(ANSWER_MILLIS);
    return socket;
  }

  public void send(String head, byte[] body) throws IOException {
    socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().write(body);
    socket.getOutputStream().flush();
  }

  public HttpMessage call(String request) throws IOException {
    send(request, new byte[0]);
    return answer();
  }

  public HttpMessage answer() throws IOException {
    HttpMessage answer = HttpMessage.read(input);
    if (answer == null) {
      throw new EOFException("connection closed without an answer");
    }
    return answer;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
