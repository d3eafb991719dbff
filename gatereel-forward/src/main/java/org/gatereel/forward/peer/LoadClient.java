package org.gatereel.forward.peer;

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

/**
 * Sends reports of load to other hosts, over one connection to each that is kept while it is used.
 */
public final class LoadClient implements LoadPort, AutoCloseable {
  /** Hosts answer within a few milliseconds; one that stands still is not waited for. */
  private static final long TIMEOUT_MILLIS = 250;

  /** Receivers in use get a report each second. */
  private static final long UNUSED_MILLIS = 10_000;

  private static final int OK = 200;

  private final ControlThread control;
  private final Map<Address, Connection> connections = new HashMap<>();

  private static final class Connection {
    private final DocumentClient client;
    private long usedAt;

    private Connection(DocumentClient client) {
      this.client = client;
    }
  }

  public LoadClient(ControlThread control) {
    this.control = control;
  }

  @Override
  public void send(Address receiver, LoadReport report, Consumer<Receipt> receipt) {
    long now = ControlThread.nowMillis();
    closeUnused(now);
    Connection connection =
        connections.computeIfAbsent(
            receiver, address -> new Connection(new DocumentClient(control.loop(), address)));
    connection.usedAt = now;
    connection.client.post(
        LoadMessages.PATH,
        LoadMessages.write(report, now),
        TIMEOUT_MILLIS,
        document -> control.run(() -> receipt.accept(receipt(document))));
  }

  private static Receipt receipt(Optional<DocumentClient.Document> document) {
    return document
        .map(
            answer ->
                switch (answer.status()) {
                  case OK -> Receipt.TAKEN;
                  case LoadMessages.FULL_REPORT_NEEDED_STATUS -> Receipt.WHOLE_NEEDED;
                  default -> Receipt.LOST;
                })
        .orElse(Receipt.LOST);
  }

  private void closeUnused(long now) {
    Iterator<Connection> each = connections.values().iterator();
    while (each.hasNext()) {
      Connection connection = each.next();
      if (now - connection.usedAt > UNUSED_MILLIS) {
        each.remove();
        connection.client.close();
      }
    }
  }

  @Override
  public void close() {
    control.loop().execute(() -> connections.values().forEach(each -> each.client.close()));
  }
}
