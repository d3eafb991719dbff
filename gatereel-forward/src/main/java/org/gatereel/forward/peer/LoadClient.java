package org.gatereel.forward.peer;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.gatereel.core.load.LoadPort;
import org.gatereel.core.load.LoadReport;
import org.gatereel.core.model.Address;
import org.gatereel.forward.ControlThread;
import org.gatereel.forward.http.DocumentClient;

/** Sends load reports to other hosts, over one connection to each, which is closed when unused. */
public final class LoadClient implements LoadPort, AutoCloseable {
  /** Well above the usual response time of a host; a stalled host must not delay reports. */
  private static final long TIMEOUT_MILLIS = 250;

  /** Receivers in use get a report every second. */
  private static final long IDLE_CONNECTION_TIMEOUT_MILLIS = 10_000;

  private static final int OK = 200;

  private final ControlThread control;
  private final Map<Address, Connection> connections = new HashMap<>();
  private final ReportCompression compression = new ReportCompression();

  private static final class Connection {
    private final DocumentClient client;
    private long lastUsedMillis;
    private boolean readsChanges;

    private Connection(DocumentClient client) {
      this.client = client;
    }
  }

  public LoadClient(ControlThread control) {
    this.control = control;
  }

  @Override
  public void send(Address receiver, LoadReport report, Consumer<Receipt> receipt) {
    long nowMillis = ControlThread.nowMillis();
    closeIdleConnections(nowMillis);
    Connection connection =
        connections.computeIfAbsent(
            receiver, address -> new Connection(new DocumentClient(control.loop(), address)));
    connection.lastUsedMillis = nowMillis;
    byte[] body = LoadMessages.write(report, nowMillis);
    connection.client.post(
        LoadMessages.PATH,
        connection.readsChanges ? compression.compress(body) : body,
        TIMEOUT_MILLIS,
        document ->
            control.run(
                () -> {
                  connection.readsChanges = document.map(LoadClient::readsChanges).orElse(false);
                  receipt.accept(receipt(document));
                }));
  }

  /** Returns whether the last response of a receiver says so; false before the first one. */
  @Override
  public boolean readsChanges(Address receiver) {
    Connection connection = connections.get(receiver);
    return connection != null && connection.readsChanges;
  }

  private static boolean readsChanges(DocumentClient.Document response) {
    String body = new String(response.body(), StandardCharsets.US_ASCII);
    return body.equals(LoadMessages.READS_CHANGES);
  }

  private static Receipt receipt(Optional<DocumentClient.Document> document) {
    return document
        .map(
            response ->
                switch (response.status()) {
                  case OK -> Receipt.TAKEN;
                  case LoadMessages.FULL_REPORT_NEEDED_STATUS -> Receipt.WHOLE_NEEDED;
                  default -> Receipt.LOST;
                })
        .orElse(Receipt.LOST);
  }

  private void closeIdleConnections(long nowMillis) {
    Iterator<Connection> iterator = connections.values().iterator();
    while (iterator.hasNext()) {
      Connection connection = iterator.next();
      if (nowMillis - connection.lastUsedMillis > IDLE_CONNECTION_TIMEOUT_MILLIS) {
        iterator.remove();
        connection.client.close();
      }
    }
  }

  @Override
  public void close() {
    control
        .loop()
        .execute(
            () -> {
              connections.values().forEach(connection -> connection.client.close());
              connections.clear();
              compression.close();
            });
  }
}
