package org.gatereel.adapters.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.gatereel.adapters.HttpClients;
import org.gatereel.adapters.RawServer;
import org.gatereel.core.platform.ReadResult;
import org.gatereel.core.platform.TableWrite;
import org.gatereel.core.platform.TransactionResult;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Truncated documents of the platform must not be accepted as complete. */
class PlatformClientTest {
  private static final long TIMEOUT_SECONDS = 30;
  private static final String UNFRAMED = "\r\nConnection: close\r\n\r\n";
  private static final String ROWS = "{\"rows\":{\"a\":\"1\",\"b\":\"{\\\"c\\\":2}\"}}";
  private static final String CONFLICT = "{\"keys\":[\"a\"],\"present\":{\"a\":\"1\"}}";

  private static <T> T send(
      String response, RawServer.CloseMode closeMode, BiConsumer<PlatformClient, Consumer<T>> query)
      throws Exception {
    BlockingQueue<T> results = new LinkedBlockingQueue<>();
    try (HttpClients clients = new HttpClients();
        RawServer server = new RawServer(response, closeMode)) {
      query.accept(new PlatformClient(clients.platform(), server.address()), results::add);
      T result = results.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertNotNull(result, "no result for " + response);
      return result;
    }
  }

  private static ReadResult read(String document, RawServer.CloseMode closeMode) throws Exception {
    return send(
        "HTTP/1.1 200 OK" + UNFRAMED + document,
        closeMode,
        (client, done) -> client.read(List.of("a", "b"), done));
  }

  private static TransactionResult transact(String response, RawServer.CloseMode closeMode)
      throws Exception {
    TableWrite write = new TableWrite("a", Optional.of("0"), "2");
    return send(response, closeMode, (client, done) -> client.transact(List.of(write), done));
  }

  private static Stream<Arguments> truncations(String document) {
    return IntStream.range(0, document.length())
        .boxed()
        .flatMap(
            length ->
                Stream.of(RawServer.CloseMode.values())
                    .map(closeMode -> Arguments.of(document.substring(0, length), closeMode)));
  }

  private static Stream<Arguments> cutRows() {
    return truncations(ROWS);
  }

  private static Stream<Arguments> cutConflicts() {
    return truncations(CONFLICT);
  }

  @Test
  void completeDocumentsAreRead() throws Exception {
    assertEquals(
        "1",
        assertInstanceOf(ReadResult.Rows.class, read(ROWS, RawServer.CloseMode.DIE))
            .rows()
            .get("a"));
    assertInstanceOf(
        TransactionResult.Conflict.class,
        transact("HTTP/1.1 409 Conflict" + UNFRAMED + CONFLICT, RawServer.CloseMode.DIE));
  }

  @ParameterizedTest
  @MethodSource("cutRows")
  void truncatedRowsAreNotRead(String part, RawServer.CloseMode closeMode) throws Exception {
    assertInstanceOf(ReadResult.Failed.class, read(part, closeMode));
  }

  @ParameterizedTest
  @MethodSource("cutConflicts")
  void truncatedConflictHasUnknownOutcome(String part, RawServer.CloseMode closeMode)
      throws Exception {
    String response = "HTTP/1.1 409 Conflict" + UNFRAMED + part;
    assertInstanceOf(TransactionResult.Unknown.class, transact(response, closeMode));
  }
}
