package org.gatereel.secondreview;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Serves connections on a free loopback port, each on a thread of its own. */
final class LoopbackServer implements AutoCloseable {
  private static final int FILL_TIMEOUT_MILLIS = 60;

  private final ServerSocket listener;
  private final Handler handler;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final List<Socket> fillers = new ArrayList<>();
  private boolean unreachable;

  /** Handles one request of a connection. */
  interface Handler {
    /** Returns whether the connection may carry another request. */
    boolean handle(Message request, Socket connection) throws IOException, InterruptedException;
  }

  LoopbackServer(Handler handler) throws IOException {
    this(handler, 256);
  }

  LoopbackServer(Handler handler, int backlog) throws IOException {
    this.handler = handler;
    this.listener = new ServerSocket(0, backlog, InetAddress.getByName("127.0.0.1"));
    start(this::accept);
  }

  static void start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /**
   * Makes this address silent, as behind a partition: connections to it hang. The queue of
   * connections that wait to be accepted is filled, so that opening packets are dropped.
   */
  void becomeUnreachable() throws IOException {
    setUnreachable(true);
    InetSocketAddress own = new InetSocketAddress("127.0.0.1", listener.getLocalPort());
    while (true) {
      Socket filler = new Socket();
      fillers.add(filler);
      try {
        filler.connect(own, FILL_TIMEOUT_MILLIS);
      } catch (SocketTimeoutException e) {
        return;
      }
    }
  }

  /** Accepts connections again. */
  void becomeReachable() throws IOException {
    for (Socket filler : fillers) {
      filler.close();
    }
    fillers.clear();
    setUnreachable(false);
  }

  private synchronized void setUnreachable(boolean value) {
    unreachable = value;
    notifyAll();
  }

  private synchronized void awaitReachable() throws InterruptedException {
    while (unreachable) {
      wait();
    }
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        awaitReachable();
        Socket connection = listener.accept();
        open.add(connection);
        start(() -> serve(connection));
      } catch (IOException | InterruptedException e) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      connection.setTcpNoDelay(true);
      InputStream input = new BufferedInputStream(connection.getInputStream());
      for (Message next = Message.read(input); next != null; next = Message.read(input)) {
        if (!handler.handle(next, connection)) {
          return;
        }
      }
    } catch (IOException | InterruptedException e) {
      // The other side has left, or this server is closed.
    } finally {
      open.remove(connection);
    }
  }

  /** Stops listening and resets all connections, as the end of a process does. */
  @Override
  public void close() {
    try {
      listener.close();
      for (Socket connection : open) {
        connection.setSoLinger(true, 0);
        connection.close();
      }
    } catch (IOException e) {
      // Nothing is left to be closed.
    }
  }
}
