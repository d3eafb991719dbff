package org.gatereel.adapters.platform;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.gatereel.adapters.HttpClients;
import org.gatereel.adapters.RawServer;
import org.gatereel.core.platform.ReadResult;
import org.gatereel.core.platform.TableWrite;
import org.gatereel.core.platform.TransactionResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against rows, and outcomes of transactions, that are read from a response of the platform
 * whose connection ended within its head.
 */
class TruncatedHeadsTest {
  private static final long TIMEOUT_SECONDS = 30;
  private static final List<RawServer.CloseMode> CLOSE_MODES =
      List.of(RawServer.CloseMode.CLOSE, RawServer.CloseMode.RESET);

  private HttpClients clients;

  @BeforeEach
  void open() {
    clients = new HttpClients();
  }

  @AfterEach
  void close() {
    clients.close();
  }

  private <T> void assertAtEveryByte(
      String lines, BiConsumer<PlatformClient, Consumer<T>> query, Class<? extends T> expected)
      throws Exception {
    String head = lines.replace("|", "\r\n");
    for (RawServer.CloseMode closeMode : CLOSE_MODES) {
      for (int length = 0; length < head.length(); length++) {
        String cut = head.substring(0, length);
        BlockingQueue<T> results = new LinkedBlockingQueue<>();
        try (RawServer server = new RawServer(cut, closeMode)) {
          query.accept(new PlatformClient(clients.platform(), server.address()), results::add);
          T result = results.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);

          assertNotNull(result, cut);
          assertInstanceOf(expected, result, closeMode + ": " + cut);
        }
      }
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK|Content-Length: 0||",
        "HTTP/1.1 204 No Content||",
        "HTTP/1.1 409 Conflict|Transfer-Encoding: chunked||",
        "HTTP/1.0 503 Service Unavailable||",
        "HTTP/1.1 103 Early Hints|Link: x||HTTP/1.1 200 OK||",
      })
  void aTransactionStaysUnknown(String head) throws Exception {
    TableWrite write = new TableWrite("a", Optional.of("0"), "2");
    assertAtEveryByte(
        head,
        (PlatformClient client, Consumer<TransactionResult> done) ->
            client.transact(List.of(write), done),
        TransactionResult.Unknown.class);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK|Content-Length: 0||",
        "HTTP/1.0 200 OK||",
        "HTTP/1.1 200 OK|X-A: b| c: d||",
      })
  void aReadFails(String head) throws Exception {
    assertAtEveryByte(
        head,
        (PlatformClient client, Consumer<ReadResult> done) -> client.read(List.of("a"), done),
        ReadResult.Failed.class);
  }
}
