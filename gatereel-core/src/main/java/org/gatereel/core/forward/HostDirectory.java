package org.gatereel.core.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.internal.Rendezvous;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;

/**
 * Knows the other hosts, from the entries that all keep in the platform's store.
 *
 * <p>It serves two ends for which a rough picture is enough: what all hosts may do together is
 * dealt out or lent, and hosts ask each other for documents. An entry is written anew once a
 * minute; one that is not is soon counted no longer, and later removed by whoever writes next.
 */
public final class HostDirectory {
  /** Assumed until all hosts of a deployment that starts at once have had time to write. */
  private static final int LEAST_AT_START = 16;

  private static final int SETTLED_READINGS = 3;
  private static final long REFRESH_MILLIS = 60_000;
  private static final long COUNTED_MILLIS = 3 * REFRESH_MILLIS;
  private static final long KEPT_MILLIS = 10 * REFRESH_MILLIS;
  private static final int MOST_REMOVED = 50;
  private static final String READERS = "readers";

  private final CoreContext context;
  private final String self;
  private final Address address;
  private final Map<Address, Long> avoidedUntil = new HashMap<>();
  private List<Entry> counted = List.of();
  private List<Entry> readers = List.of();
  private int readings;

  /**
   * An entry of a host.
   *
   * @param address where other hosts ask it
   * @param seenAt when it was written, in milliseconds of the store's steady clock
   */
  public record Entry(String host, DataCentre dataCentre, Address address, long seenAt) {}

  /** What is to be written: this host's entry, and the names of entries that are too old. */
  public record Update(Entry own, List<String> outdated) {}

  /**
   * Makes a directory that knows nobody yet.
   *
   * @param address where other hosts ask this one
   */
  public HostDirectory(CoreContext context, Address address) {
    this.context = context;
    this.self = context.self().value();
    this.address = address;
  }

  /** Takes in all entries; returns what is to be written, if anything is. */
  public Optional<Update> learn(List<Entry> entries, long storeMillis) {
    readings++;
    int before = counted.size();
    counted =
        entries.stream().filter(entry -> isYounger(entry, storeMillis, COUNTED_MILLIS)).toList();
    List<Entry> here =
        counted.stream().filter(entry -> entry.dataCentre().equals(context.dataCentre())).toList();
    List<Entry> ranked = Rendezvous.rank(READERS, here, Entry::host);
    noteChange(before, ranked);
    readers = ranked;
    if (isOwnFresh(entries, storeMillis)) {
      return Optional.empty();
    }
    Entry own = new Entry(self, context.dataCentre(), address, storeMillis);
    return Optional.of(new Update(own, outdated(entries, storeMillis)));
  }

  private void noteChange(int before, List<Entry> ranked) {
    String first = firstOf(ranked);
    if (counted.size() != before || !first.equals(firstOf(readers))) {
      context.note(EventCode.HOSTS_KNOWN, self, "hosts=" + counted.size() + " reader=" + first);
    }
  }

  private static String firstOf(List<Entry> ranked) {
    return ranked.isEmpty() ? "-" : ranked.get(0).host();
  }

  /** Returns whether this host's entry is as it should be, and young. */
  private boolean isOwnFresh(List<Entry> entries, long storeMillis) {
    return entries.stream()
        .filter(entry -> entry.host().equals(self))
        .filter(entry -> entry.address().equals(address))
        .anyMatch(entry -> isYounger(entry, storeMillis, REFRESH_MILLIS));
  }

  private List<String> outdated(List<Entry> entries, long storeMillis) {
    return entries.stream()
        .filter(entry -> !isYounger(entry, storeMillis, KEPT_MILLIS))
        .map(Entry::host)
        .filter(host -> !host.equals(self))
        .limit(MOST_REMOVED)
        .toList();
  }

  private static boolean isYounger(Entry entry, long storeMillis, long age) {
    return storeMillis - entry.seenAt() < age;
  }

  /** Returns how many hosts there probably are, this one included; at least one. */
  public int hosts() {
    int least = readings < SETTLED_READINGS ? LEAST_AT_START : 1;
    return Math.max(least, counted.size());
  }

  /** Returns how many of them are in this data centre; at least one. */
  public int hostsHere() {
    return Math.max(1, readers.size());
  }

  /**
   * Returns the host that reads the store for this data centre; empty if that is this one, or if no
   * other is known. Hosts that were found not to answer are passed over.
   */
  public Optional<Address> reader(long now) {
    for (Entry entry : readers) {
      if (entry.host().equals(self)) {
        return Optional.empty();
      }
      if (avoidedUntil.getOrDefault(entry.address(), now) <= now) {
        return Optional.of(entry.address());
      }
    }
    return Optional.empty();
  }

  /** Passes a host over as a reader until a time. */
  public void avoid(Address host, long until) {
    avoidedUntil.values().removeIf(time -> time <= context.now());
    avoidedUntil.put(host, until);
  }

  /** Returns any other host, of whichever data centre. */
  public Optional<Address> anyOther(RandomGenerator random) {
    List<Entry> others = counted.stream().filter(entry -> !entry.host().equals(self)).toList();
    if (others.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(others.get(random.nextInt(others.size())).address());
  }
}
