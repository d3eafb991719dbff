package org.gatereel.core.call;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.platform.PlatformPort;
import org.gatereel.core.platform.ReadResult;
import org.gatereel.core.platform.TableWrite;
import org.gatereel.core.platform.TransactionResult;

/**
 * Writes claims into the platform's table, many in one transaction.
 *
 * <p>A claim is granted only when its row is known to have its value: after a commit, or after
 * reading the row back when the response was lost. While the platform does not respond, claims fail
 * at once, except for periodic probes.
 */
final class ClaimWriter {
  static final String KEY_PREFIX = "claim/";
  private static final long CLAIM_TIMEOUT_MILLIS = 1_500;
  private static final long PROBE_INTERVAL_MILLIS = 500;
  private static final long RETRY_DELAY_MILLIS = 60;
  private static final double MAX_BURST_TRANSACTIONS = 4;

  private final CoreContext context;
  private final PlatformPort platform;
  private final IntSupplier intervalMillis;
  private final Map<String, Claim> pendingByKey = new LinkedHashMap<>();
  private boolean requestPending;
  private boolean flushScheduled;
  private double allowance = MAX_BURST_TRANSACTIONS;
  private long refilledAt;
  private long nextProbeAt;
  private boolean unreachable;

  private static final class Claim {
    private final TableWrite write;
    private final long deadline;
    private final Consumer<Optional<String>> done;
    private final List<Claim> duplicates = new ArrayList<>();

    private Claim(TableWrite write, long deadline, Consumer<Optional<String>> done) {
      this.write = write;
      this.deadline = deadline;
      this.done = done;
    }

    private void complete(Optional<String> present) {
      done.accept(present);
      duplicates.forEach(duplicate -> duplicate.done.accept(present));
    }
  }

  ClaimWriter(CoreContext context, PlatformPort platform, IntSupplier intervalMillis) {
    this.context = context;
    this.platform = platform;
    this.intervalMillis = intervalMillis;
  }

  /**
   * Claims a row; {@code done} receives the row's value, or empty if it is unknown.
   *
   * <p>After an empty result the write may still take effect. The caller must then never execute
   * the call under this claim.
   */
  void claim(TableWrite write, Consumer<Optional<String>> done) {
    if (unreachable && context.now() < nextProbeAt) {
      done.accept(Optional.empty());
      return;
    }
    Claim claim = new Claim(write, context.now() + CLAIM_TIMEOUT_MILLIS, done);
    Claim first = pendingByKey.putIfAbsent(write.key(), claim);
    if (first != null) {
      first.duplicates.add(claim);
    }
    scheduleFlush();
  }

  private void scheduleFlush() {
    if (requestPending || flushScheduled || pendingByKey.isEmpty()) {
      return;
    }
    flushScheduled = true;
    refillAllowance();
    double shortfall = Math.max(0, 1 - allowance);
    long delayMillis = (long) Math.ceil(shortfall * intervalMillis.getAsInt());
    context.schedule(delayMillis, this::flush);
  }

  /** Accumulates unused transactions up to the burst limit, so that a lone claim is not delayed. */
  private void refillAllowance() {
    double accrued = (double) (context.now() - refilledAt) / intervalMillis.getAsInt();
    allowance = Math.min(MAX_BURST_TRANSACTIONS, allowance + accrued);
    refilledAt = context.now();
  }

  private void flush() {
    flushScheduled = false;
    refillAllowance();
    allowance -= 1;
    List<Claim> group = new ArrayList<>();
    for (Claim claim : List.copyOf(pendingByKey.values())) {
      if (group.size() < platform.limits().rowsPerTransaction()) {
        group.add(claim);
        pendingByKey.remove(claim.write.key());
      }
    }
    send(group);
  }

  private void send(List<Claim> group) {
    requestPending = true;
    List<TableWrite> writes = group.stream().map(claim -> claim.write).toList();
    platform.transact(writes, result -> handleTransactionResult(group, result));
  }

  private void handleTransactionResult(List<Claim> group, TransactionResult result) {
    requestPending = false;
    if (result instanceof TransactionResult.Committed) {
      markReachable();
      context.logEvent(EventCode.CLAIMS_WRITTEN, context.self().value(), group.size() + " claims");
      group.forEach(claim -> claim.complete(Optional.of(claim.write.value())));
    } else if (result instanceof TransactionResult.Conflict conflict) {
      markReachable();
      handleConflict(group, conflict);
    } else if (result instanceof TransactionResult.Unknown) {
      readBack(group);
    } else {
      markUnreachable();
      retryLater(group);
    }
    scheduleFlush();
  }

  private void handleConflict(List<Claim> group, TransactionResult.Conflict conflict) {
    List<Claim> free = new ArrayList<>();
    for (Claim claim : group) {
      String key = claim.write.key();
      if (!conflict.keys().contains(key)) {
        free.add(claim);
      } else if (conflict.present().containsKey(key)) {
        claim.complete(Optional.of(conflict.present().get(key)));
      } else {
        claim.complete(Optional.empty());
      }
    }
    if (!free.isEmpty()) {
      send(free);
    }
  }

  private void readBack(List<Claim> group) {
    requestPending = true;
    List<String> keys = group.stream().map(claim -> claim.write.key()).toList();
    platform.read(keys, result -> handleReadBack(group, result));
  }

  private void handleReadBack(List<Claim> group, ReadResult result) {
    requestPending = false;
    if (result instanceof ReadResult.Rows rows) {
      markReachable();
      List<Claim> retryable = new ArrayList<>();
      for (Claim claim : group) {
        String present = rows.rows().get(claim.write.key());
        boolean unchanged = Optional.ofNullable(present).equals(claim.write.expected());
        if (unchanged) {
          retryable.add(claim);
        } else {
          claim.complete(Optional.ofNullable(present));
        }
      }
      retryLater(retryable);
    } else {
      markUnreachable();
      retryLater(group);
    }
    scheduleFlush();
  }

  private void retryLater(List<Claim> group) {
    for (Claim claim : group) {
      if (context.now() + RETRY_DELAY_MILLIS >= claim.deadline || unreachable) {
        claim.complete(Optional.empty());
      } else {
        context.schedule(RETRY_DELAY_MILLIS, () -> requeue(claim));
      }
    }
  }

  private void requeue(Claim claim) {
    Claim present = pendingByKey.putIfAbsent(claim.write.key(), claim);
    if (present != null) {
      present.duplicates.add(claim);
    }
    scheduleFlush();
  }

  private void markReachable() {
    if (unreachable) {
      unreachable = false;
      context.logEvent(EventCode.PLATFORM_REACHED, "table", "");
    }
  }

  private void markUnreachable() {
    if (!unreachable) {
      context.logEvent(EventCode.PLATFORM_LOST, "table", "claims are refused until it answers");
    }
    unreachable = true;
    nextProbeAt = context.now() + PROBE_INTERVAL_MILLIS;
  }
}
