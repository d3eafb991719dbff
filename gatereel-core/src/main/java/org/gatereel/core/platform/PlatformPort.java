package org.gatereel.core.platform;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.gatereel.core.action.Action;
import org.gatereel.core.event.Event;
import org.gatereel.core.internal.CoreContext;

/** Matches the platform's answers with the parts of the core that asked. */
public final class PlatformPort {
  private final CoreContext context;
  private final StoreLimits limits;
  private final Map<Long, Consumer<TransactionResult>> transactions = new HashMap<>();
  private final Map<Long, Consumer<ReadResult>> reads = new HashMap<>();

  public PlatformPort(CoreContext context, StoreLimits limits) {
    this.context = context;
    this.limits = limits;
  }

  /** Returns what the store takes from all hosts together. */
  public StoreLimits limits() {
    return limits;
  }

  /** Asks for a transaction. */
  public void transact(List<TableWrite> writes, Consumer<TransactionResult> done) {
    long ticket = context.nextTicket();
    transactions.put(ticket, done);
    context.emit(new Action.Transact(ticket, writes));
  }

  /** Reads single rows. */
  public void read(List<String> keys, Consumer<ReadResult> done) {
    long ticket = context.nextTicket();
    reads.put(ticket, done);
    context.emit(new Action.ReadRows(ticket, keys));
  }

  /** Reads the rows with a prefix, after a key, in one consistent read. */
  public void scan(String prefix, String after, Consumer<ReadResult> done) {
    long ticket = context.nextTicket();
    reads.put(ticket, done);
    context.emit(new Action.ScanRows(ticket, prefix, after));
  }

  /** Passes the end of a transaction on. */
  public void complete(Event.TransactionEnded event) {
    Consumer<TransactionResult> done = transactions.remove(event.ticket());
    if (done != null) {
      done.accept(event.result());
    }
  }

  /** Passes the end of a read on. */
  public void complete(Event.ReadEnded event) {
    Consumer<ReadResult> done = reads.remove(event.ticket());
    if (done != null) {
      done.accept(event.result());
    }
  }
}
