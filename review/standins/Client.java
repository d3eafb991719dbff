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

  private final Socket socket = new Socket();
  private final BufferedInputStream input;

  public Client(String address) throws IOException {
    this(address, 0);
  }

  /** Opens a connection; a receive buffer of 0 bytes leaves the size to the system. */
  public Client(String address, int receiveBufferBytes) throws IOException {
    if (receiveBufferBytes > 0) {
      socket.setReceiveBufferSize(receiveBufferBytes);
    }
    int colon = address.indexOf(':');
    socket.connect(
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
        CONNECT_MILLIS);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(ANSWER_MILLIS);
    input = new BufferedInputStream(socket.getInputStream());
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

  public BufferedInputStream input() {
    return input;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
