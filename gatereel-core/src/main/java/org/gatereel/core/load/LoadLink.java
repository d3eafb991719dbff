package org.gatereel.core.load;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.HostId;

/**
 * The state of reporting to one receiver, which is sent only what has changed.
 *
 * <p>A report is sent after the receipt of the one before, and within the bandwidth limit of the
 * link. Its size is limited too, so that the next one follows soon whatever has changed; what does
 * not fit is sent with later reports.
 */
final class LoadLink {
  /**
   * The bandwidth limit of a link, which keeps control traffic per host below 7 KB/s: a host that
   * is not a gatherer has one link in each direction, and the one from the gatherer carries nearly
   * all bytes.
   */
  private static final int MAX_BYTES_PER_SECOND = 5_000;

  private static final long MAX_REPORT_BYTES =
      MAX_BYTES_PER_SECOND * LoadExchange.MAX_REPORT_PAUSE_MILLIS / 1_000;

  /** The estimated size of a report without entries, with the heads of request and response. */
  private static final int REPORT_OVERHEAD_BYTES = 330;

  private static final long INITIAL_BACKOFF_MILLIS = 250;
  private static final long MAX_BACKOFF_MILLIS = 4_000;

  /**
   * The receiving end of a link.
   *
   * @param host the receiving host, if its own load is excluded from the sums
   */
  record Receiver(Address address, LoadScope scope, Optional<HostId> host) {}

  private final Receiver receiver;
  private final SentContent sent;
  private final Map<ReportContent, Long> waitingSince = new EnumMap<>(ReportContent.class);
  private OptionalLong lastSequence = OptionalLong.empty();
  private long sentBadResponses;
  private long sentAt = Long.MIN_VALUE / 2;
  private long nextReportAt = Long.MIN_VALUE / 2;
  private long unpaidBytes;
  private long backoffMillis = INITIAL_BACKOFF_MILLIS;
  private boolean awaitingReceipt;

  LoadLink(Receiver receiver) {
    this.receiver = receiver;
    this.sent = new SentContent(receiver.scope());
  }

  Receiver receiver() {
    return receiver;
  }

  /** Returns the earliest time for the next report. */
  long nextReportAt() {
    return nextReportAt;
  }

  boolean isAwaitingReceipt() {
    return awaitingReceipt;
  }

  /** Returns whether the last report was lost and its backoff has not ended. */
  boolean isFailing(long now) {
    return backoffMillis > INITIAL_BACKOFF_MILLIS && now < nextReportAt;
  }

  /** Returns since when a part of the entries of each kind has waited for bandwidth. */
  Map<ReportContent, Long> waitingSince() {
    return waitingSince;
  }

  /**
   * Makes the next report from the current sums; empty if there is nothing to send.
   *
   * @param readsChanges whether the receiver reads reports with changes of demand and evidence
   */
  Optional<LoadReport> nextReport(
      LoadSums sums,
      FactSources facts,
      LoadExchange.Sender sender,
      long sequence,
      long now,
      boolean readsChanges) {
    boolean complete = lastSequence.isEmpty();
    if (complete) {
      sent.restart();
    }
    boolean allDemand = complete || !readsChanges;
    SentContent.Changes changes = sent.changes(sums, facts, allDemand, now);
    if (!complete && !isDue(changes, sums, now)) {
      return Optional.empty();
    }
    Map<ReportContent, Integer> wanted = changes.counts();
    Map<ReportContent, Integer> granted = ReportContent.divide(entryBytes(now), wanted);
    if (complete) {
      // The receiver takes what a complete report does not name for gone.
      granted.put(ReportContent.LOADS, wanted.get(ReportContent.LOADS));
    }
    if (allDemand) {
      granted.put(ReportContent.DEMAND, wanted.get(ReportContent.DEMAND));
      granted.put(ReportContent.EVIDENCE, wanted.get(ReportContent.EVIDENCE));
    }
    recordWaiting(wanted, granted, now);
    LoadReport.Header header =
        new LoadReport.Header(
            sender.host(),
            sender.address(),
            receiver.scope(),
            sender.session(),
            sequence,
            lastSequence,
            !allDemand);
    LoadReport report = sent.report(header, changes, granted, sums, facts);
    recordSent(report, sums, ReportContent.bytes(granted), now);
    return Optional.of(report);
  }

  private boolean isDue(SentContent.Changes changes, LoadSums sums, long now) {
    boolean heartbeatDue = now - sentAt >= LoadExchange.HEARTBEAT_MILLIS;
    boolean newFacts = changes.poisonFacts() > 0 || changes.targetFacts() > 0;
    // Bad responses of a new version are sent without waiting for the next heartbeat.
    boolean moreBadResponses = sums.badResponses() > sentBadResponses;
    return heartbeatDue
        || newFacts
        || moreBadResponses
        || !changes.loads().isEmpty()
        || !waitingSince.isEmpty();
  }

  /** Returns how many bytes of entries the next report may have. */
  private long entryBytes(long now) {
    long reportBytes = unpaidBytes(now) > 0 ? MAX_REPORT_BYTES / 2 : MAX_REPORT_BYTES;
    return reportBytes - REPORT_OVERHEAD_BYTES;
  }

  /** Returns the bytes that were sent beyond the bandwidth limit until now. */
  private long unpaidBytes(long now) {
    if (unpaidBytes == 0) {
      return 0;
    }
    long paid = (now - sentAt) * MAX_BYTES_PER_SECOND / 1_000;
    return Math.max(0, unpaidBytes - paid);
  }

  private void recordWaiting(
      Map<ReportContent, Integer> wanted, Map<ReportContent, Integer> granted, long now) {
    wanted.forEach(
        (kind, count) -> {
          if (granted.get(kind) < count) {
            waitingSince.putIfAbsent(kind, now);
          } else {
            waitingSince.remove(kind);
          }
        });
  }

  private void recordSent(LoadReport report, LoadSums sums, long entryBytes, long now) {
    sentBadResponses = sums.badResponses();
    unpaidBytes = unpaidBytes(now) + REPORT_OVERHEAD_BYTES + entryBytes;
    sentAt = now;
    nextReportAt = now + Math.min(LoadExchange.MAX_REPORT_PAUSE_MILLIS, payMillis());
    lastSequence = OptionalLong.of(report.sequence());
    awaitingReceipt = true;
  }

  /** Returns the time from the last report until all bytes are within the bandwidth limit. */
  private long payMillis() {
    return unpaidBytes * 1_000 / MAX_BYTES_PER_SECOND;
  }

  /** Processes the receipt of the last report; after a lost one the next is delayed. */
  void onReceipt(LoadPort.Receipt receipt, long now) {
    awaitingReceipt = false;
    switch (receipt) {
      case TAKEN -> backoffMillis = INITIAL_BACKOFF_MILLIS;
      case WHOLE_NEEDED -> sendComplete(nextReportAt);
      case LOST -> {
        sendComplete(now + backoffMillis);
        backoffMillis = Math.min(MAX_BACKOFF_MILLIS, 2 * backoffMillis);
      }
    }
  }

  /** Sends a complete report next, which is not limited in size and waits for its bandwidth. */
  private void sendComplete(long notBefore) {
    lastSequence = OptionalLong.empty();
    nextReportAt = Math.max(notBefore, sentAt + payMillis());
  }
}
