package org.gatereel.adapters;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.gatereel.core.model.Address;

/**
 * A server that sends the same bytes in response to every request and then closes the connection.
 *
 * <p>The bytes need not be a complete HTTP response.
 */
public final class RawServer implements AutoCloseable {
  private static final String LENGTH = "content-length:";

  private final ServerSocket socket;
  private final byte[] response;
  private final CloseMode closeMode;

  /** How the connection is closed after the response. */
  public enum CloseMode {
    /** Closes the connection; the server can still be reached. */
    CLOSE {
      @Override
      void closeConnection(ServerSocket server, Socket connection) throws IOException {
        connection.close();
      }
    },
    /** Closes the connection and the server, as after a crash of its process. */
    DIE {
      @Override
      void closeConnection(ServerSocket server, Socket connection) throws IOException {
        server.close();
        connection.close();
      }
    },
    /** Resets the connection. */
    RESET {
      @Override
      void closeConnection(ServerSocket server, Socket connection) throws IOException {
        connection.setSoLinger(true, 0);
        connection.close();
      }
    };

    abstract void closeConnection(ServerSocket server, Socket connection) throws IOException;
  }

  public RawServer(String response, CloseMode closeMode) throws IOException {
    this.socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    this.response = response.getBytes(StandardCharsets.ISO_8859_1);
    this.closeMode = closeMode;
    Thread thread = new Thread(this::serve, "raw-server");
    thread.setDaemon(true);
    thread.start();
  }

  public Address address() {
    return new Address("127.0.0.1", socket.getLocalPort());
  }

  private void serve() {
    while (!socket.isClosed()) {
      try (Socket connection = socket.accept()) {
        if (readRequest(connection.getInputStream())) {
          connection.getOutputStream().write(response);
          connection.getOutputStream().flush();
          closeMode.closeConnection(socket, connection);
        }
      } catch (IOException e) {
        // The server was closed, or a client closed its connection.
      }
    }
  }

  /** Reads a request; returns whether a complete one was received. */
  private static boolean readRequest(InputStream raw) throws IOException {
    InputStream in = new BufferedInputStream(raw);
    int length = 0;
    String line = readLine(in);
    if (line.isEmpty()) {
      return false;
    }
    while (!line.isEmpty()) {
      String header = line.toLowerCase(Locale.ROOT);
      if (header.startsWith(LENGTH)) {
        length = Integer.parseInt(header.substring(LENGTH.length()).trim());
      }
      line = readLine(in);
    }
    return in.readNBytes(length).length == length;
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
      if (next != '\r') {
        line.append((char) next);
      }
    }
    return line.toString();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
