package org.gatereel.core.load;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.poison.PoisonFact;
import org.gatereel.core.statement.TargetFact;

/**
 * What one receiver has been told, so that it is told only what changed.
 *
 * <p>Reports follow each other no faster than the link's share of control traffic allows, and not
 * before the last one was received: what changes meanwhile goes out with the next.
 */
final class LoadLink {
  /**
   * Control traffic is to stay below 7 KB a second a host; a host that does not gather has one link
   * out and one in, nearly all of it the gatherer's.
   */
  private static final int BYTES_PER_SECOND = 5_000;

  /** Heads of question and answer with what a report says of its sender, as counted on the wire. */
  private static final int REPORT_BYTES = 330;

  /**
   * One target or demand in a report, as counted on the wire; 9 more where targets tell their
   * start, which is within what a host may send.
   */
  private static final int ENTRY_BYTES = 32;

  /** One fact about a request under which targets end, as counted on the wire. */
  private static final int FACT_BYTES = 90;

  /** What a target said: its kind, the longest name and start that targets have, two numbers. */
  private static final int TARGET_FACT_BYTES = 50;

  /** With 64 facts a report takes a second of the link; the others follow with the next. */
  private static final int MOST_FACTS = 64;

  private static final long FIRST_BACKOFF_MILLIS = 250;
  private static final long LONGEST_BACKOFF_MILLIS = 4_000;

  /** Whom a link leads to, and what is said there. */
  record Receiver(Address address, LoadScope scope, Optional<HostId> host) {}

  private final Receiver receiver;
  private Map<TargetId, TargetLoad> told = new HashMap<>();
  private OptionalLong lastSequence = OptionalLong.empty();
  private long badTold;
  private final SentFacts<PoisonFact> poisonTold = new SentFacts<>();
  private final SentFacts<TargetFact> targetsTold = new SentFacts<>();
  private long sentAt = Long.MIN_VALUE / 2;
  private long nextReportAt = Long.MIN_VALUE / 2;
  private long backoffMillis = FIRST_BACKOFF_MILLIS;
  private boolean underWay;

  LoadLink(Receiver receiver) {
    this.receiver = receiver;
  }

  Receiver receiver() {
    return receiver;
  }

  /** Returns when a report may be sent again. */
  long nextReportAt() {
    return nextReportAt;
  }

  boolean isAwaitingReceipt() {
    return underWay;
  }

  /** Returns whether the last report was lost, so that this receiver is better not relied on. */
  boolean isFailing(long now) {
    return backoffMillis > FIRST_BACKOFF_MILLIS && now < nextReportAt;
  }

  /** Makes the next report out of the present loads; empty if there is no need of one. */
  Optional<LoadReport> nextReport(
      LoadSums sums, FactSources facts, LoadExchange.Sender sender, long sequence, long now) {
    Map<TargetId, TargetLoad> loads = sums.loads();
    boolean whole = lastSequence.isEmpty();
    Map<TargetId, TargetLoad> changed = whole ? loads : changes(loads);
    boolean beat = now - sentAt >= LoadExchange.HEARTBEAT_MILLIS;
    // A version that turns bad must be known everywhere long before the next heartbeat.
    boolean alarm = sums.badResponses() > badTold;
    List<PoisonFact> poison = poisonTold.nextToSend(facts.poison(), whole, MOST_FACTS);
    List<TargetFact> targetFacts = targetsTold.nextToSend(facts.targets(), whole, MOST_FACTS);
    boolean news = !poison.isEmpty() || !targetFacts.isEmpty();
    if (changed.isEmpty() && !news && !beat && !whole && !alarm) {
      return Optional.empty();
    }
    LoadReport report =
        new LoadReport(
            sender.host(),
            sender.address(),
            receiver.scope(),
            sender.session(),
            sequence,
            lastSequence,
            changed,
            sums.demand(),
            sums.evidence(),
            poison,
            targetFacts);
    badTold = sums.badResponses();
    told = new HashMap<>(loads);
    sentAt = now;
    int entries = changed.size() + sums.demand().size() + sums.evidence().size();
    nextReportAt = now + pauseMillis(entries, poison.size(), targetFacts.size());
    lastSequence = OptionalLong.of(sequence);
    underWay = true;
    return Optional.of(report);
  }

  private Map<TargetId, TargetLoad> changes(Map<TargetId, TargetLoad> loads) {
    Map<TargetId, TargetLoad> changes = new HashMap<>();
    loads.forEach(
        (target, load) -> {
          if (!load.equals(told.get(target))) {
            changes.put(target, load);
          }
        });
    told.keySet().stream()
        .filter(target -> !loads.containsKey(target))
        .forEach(target -> changes.put(target, TargetLoad.NONE));
    return changes;
  }

  private static long pauseMillis(int entries, int poison, int targetFacts) {
    long facts = (long) poison * FACT_BYTES + (long) targetFacts * TARGET_FACT_BYTES;
    long bytes = REPORT_BYTES + (long) entries * ENTRY_BYTES + facts;
    return bytes * 1_000 / BYTES_PER_SECOND;
  }

  /** Notes what became of the report that was under way. */
  void onReceipt(LoadPort.Receipt receipt, long now) {
    underWay = false;
    switch (receipt) {
      case TAKEN -> backoffMillis = FIRST_BACKOFF_MILLIS;
      case WHOLE_NEEDED -> lastSequence = OptionalLong.empty();
      case LOST -> {
        lastSequence = OptionalLong.empty();
        nextReportAt = now + backoffMillis;
        backoffMillis = Math.min(LONGEST_BACKOFF_MILLIS, 2 * backoffMillis);
      }
    }
  }
}
