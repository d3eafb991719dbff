package org.gatereel.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RolloutCommandTest {
  private static final String PAGE =
      "counters version=v2 state=RUNNING\n  route=r answers=3\nengines version=v7 state=COMPLETED\n";

  private HttpServer host;
  private String address;

  @BeforeEach
  void start() throws Exception {
    host = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    host.createContext(
        "/rollouts",
        exchange -> {
          byte[] page = PAGE.getBytes(StandardCharsets.UTF_8);
          exchange.sendResponseHeaders(200, page.length);
          exchange.getResponseBody().write(page);
          exchange.close();
        });
    host.start();
    address = "127.0.0.1:" + host.getAddress().getPort();
  }

  @AfterEach
  void stop() {
    host.stop(0);
  }

  @Test
  void printsTheRolloutOfTheService() {
    String text = CommandOutput.capture(ExitCode.DONE, "rollout", "counters", "--at", address);

    assertTrue(text.contains("counters version=v2 state=RUNNING"), text);
    assertTrue(text.contains("route=r answers=3"), text);
    assertEquals(-1, text.indexOf("engines"), text);
  }

  @Test
  void printsThatTheServiceHasNoRollout() {
    String text = CommandOutput.capture(ExitCode.DONE, "rollout", "other", "--at", address);

    assertTrue(text.contains("no roll-out of other is known"), text);
  }

  @Test
  void returnsUnreachableIfNoHostResponds() {
    host.stop(0);

    CommandOutput.capture(ExitCode.UNREACHABLE, "rollout", "counters", "--at", address);
  }

  @Test
  void invalidAddressIsAUsageError() {
    CommandOutput.capture(ExitCode.USAGE, "rollout", "counters", "--at", "a b");
  }
}
