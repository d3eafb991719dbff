package org.gatereel.standins.relay;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Relays TCP bytes to one address. A cut relay delays all bytes and keeps the connections open, as
 * a broken network link does.
 */
public final class Relay implements AutoCloseable {
  private static final int BUFFER = 8_192;
  private static final long CUT_LOOK_MILLIS = 5;

  private final ServerSocket server;
  private final int target;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile boolean cut;

  public Relay(int port, int target) throws IOException {
    this.target = target;
    this.server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
    start("relay-accept", this::accept);
  }

  private static void start(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  /** Cuts or restores the link; bytes sent during a cut arrive after it. */
  public void cut(boolean on) {
    cut = on;
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        join(server.accept());
      } catch (IOException e) {
        // The target refused the connection, or the relay is closed.
      }
    }
  }

  private void join(Socket in) throws IOException {
    try {
      Socket out = new Socket(InetAddress.getLoopbackAddress(), target);
      sockets.add(in);
      sockets.add(out);
      start("relay-there", () -> copy(in, out));
      start("relay-back", () -> copy(out, in));
    } catch (IOException e) {
      in.close();
      throw e;
    }
  }

  private void copy(Socket from, Socket to) {
    byte[] buffer = new byte[BUFFER];
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      int length = in.read(buffer);
      while (length >= 0) {
        waitWhileCut();
        out.write(buffer, 0, length);
        out.flush();
        length = in.read(buffer);
      }
    } catch (IOException e) {
      // One side closed; try-with-resources closes the other.
      return;
    } finally {
      sockets.remove(from);
      sockets.remove(to);
    }
  }

  private void waitWhileCut() throws IOException {
    while (cut) {
      try {
        TimeUnit.MILLISECONDS.sleep(CUT_LOOK_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IOException("interrupted", e);
      }
    }
  }

  @Override
  public void close() {
    try {
      server.close();
      for (Socket socket : sockets) {
        socket.close();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
