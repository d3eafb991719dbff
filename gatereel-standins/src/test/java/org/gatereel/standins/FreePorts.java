package org.gatereel.standins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;

/** Starts servers on ports that the system names. */
final class FreePorts {
  private static final int TRIES = 5;

  private FreePorts() {}

  /** Starts one server on a port. */
  interface Starter {
    AutoCloseable start(int port) throws Exception;
  }

  /** Returns a port that is free now; another process may take it before it is used. */
  static int one() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  /**
   * Starts a server on a free port, adds it to those that are open, and returns the port.
   *
   * <p>A start that fails is tried again on another port, because the first may have been taken.
   */
  static int start(List<AutoCloseable> open, Starter starter) throws Exception {
    for (int turn = 1; ; turn++) {
      int port = one();
      try {
        open.add(starter.start(port));
        return port;
      } catch (Exception e) {
        if (turn == TRIES) {
          throw e;
        }
      }
    }
  }
}
