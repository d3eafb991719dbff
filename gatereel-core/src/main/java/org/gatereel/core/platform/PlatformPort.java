package org.gatereel.core.platform;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.Event;
import org.gatereel.core.internal.CoreContext;

/** Passes the platform's results to the callbacks of the requests. */
public final class PlatformPort {
  private final CoreContext context;
  private final StoreLimits limits;
  private final Map<Long, Consumer<TransactionResult>> transactions = new HashMap<>();
  private final Map<Long, Consumer<ReadResult>> reads = new HashMap<>();

  public PlatformPort(CoreContext context, StoreLimits limits) {
    this.context = context;
    this.limits = limits;
  }

  /** Returns the limits of the store for all hosts together. */
  public StoreLimits limits() {
    return limits;
  }

  /** Starts a transaction. */
  public void transact(List<TableWrite> writes, Consumer<TransactionResult> callback) {
    long ticket = context.nextTicket();
    transactions.put(ticket, callback);
    context.emit(new Action.Transact(ticket, writes));
  }

  /** Reads single rows. */
  public void read(List<String> keys, Consumer<ReadResult> callback) {
    long ticket = context.nextTicket();
    reads.put(ticket, callback);
    context.emit(new Action.ReadRows(ticket, keys));
  }

  /** Reads the rows whose keys have a prefix and follow {@code after}, in one consistent read. */
  public void scan(String prefix, String after, Consumer<ReadResult> callback) {
    long ticket = context.nextTicket();
    reads.put(ticket, callback);
    context.emit(new Action.ScanRows(ticket, prefix, after));
  }

  public void complete(Event.TransactionEnded event) {
    Consumer<TransactionResult> callback = transactions.remove(event.ticket());
    if (callback != null) {
      callback.accept(event.result());
    }
  }

  public void complete(Event.ReadEnded event) {
    Consumer<ReadResult> callback = reads.remove(event.ticket());
    if (callback != null) {
      callback.accept(event.result());
    }
  }
}
