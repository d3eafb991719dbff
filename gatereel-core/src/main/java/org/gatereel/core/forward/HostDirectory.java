package org.gatereel.core.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.gatereel.core.choice.HostCount;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.internal.Rendezvous;
import org.gatereel.core.limit.LenderDirectory;
import org.gatereel.core.load.GathererDirectory;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;

/**
 * Knows the other hosts, from the entries that all keep in the platform's store.
 *
 * <p>It serves two ends for which a rough picture is enough: what all hosts may do together is
 * dealt out or lent, and hosts ask each other for documents. An entry is written anew once a
 * minute; one that is not is soon counted no longer, and later removed by whoever writes next.
 */
public final class HostDirectory implements GathererDirectory, HostCount, LenderDirectory {
  /** Assumed until all hosts of a deployment that starts at once have had time to write. */
  private static final int LEAST_AT_START = 16;

  private static final int SETTLED_READINGS = 3;
  private static final long REFRESH_MILLIS = 60_000;
  private static final long COUNTED_MILLIS = 3 * REFRESH_MILLIS;
  private static final long KEPT_MILLIS = 10 * REFRESH_MILLIS;
  private static final int MOST_REMOVED = 50;

  /** Entries are read each eight seconds, so that one just written is not seen for as long. */
  private static final long REWRITE_MILLIS = 9_000;

  private static final String READERS = "readers";

  /**
   * Up to so many hosts one reads the store for all data centres, which spares half of the calls to
   * it (1,200 and 550 in a minute, means of five plays, six hosts in four data centres). Each asks
   * it 2.5 times a second; 60 questions a second, at an assumed 0.1 ms each, are 0.6% of its core.
   */
  private static final int MOST_FOR_ONE_READER = 24;

  private final CoreContext context;
  private final String self;
  private final Address address;
  private final Map<Address, Long> avoidedUntil = new HashMap<>();
  private List<Entry> counted = List.of();
  private List<Entry> readers = List.of();
  private Optional<Entry> readerOfAll = Optional.empty();
  private List<List<Address>> readersElsewhere = List.of();
  private int readings;
  private long changes;
  private long writtenAt = Long.MIN_VALUE / 2;

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
    List<Entry> before = counted;
    counted =
        entries.stream().filter(entry -> isYounger(entry, storeMillis, COUNTED_MILLIS)).toList();
    if (!places(before).equals(places(counted))) {
      changes++;
    }
    List<Entry> here =
        counted.stream().filter(entry -> entry.dataCentre().equals(context.dataCentre())).toList();
    List<Entry> ranked = Rendezvous.rank(READERS, here, Entry::host);
    noteChange(before.size(), ranked);
    readers = ranked;
    readersElsewhere = rankElsewhere();
    readerOfAll = rankReaderOfAll();
    if (isOwnFresh(entries, storeMillis) || storeMillis - writtenAt < REWRITE_MILLIS) {
      return Optional.empty();
    }
    writtenAt = storeMillis;
    Entry own = new Entry(self, context.dataCentre(), address, storeMillis);
    return Optional.of(new Update(own, outdated(entries, storeMillis)));
  }

  private Optional<Entry> rankReaderOfAll() {
    return counted.size() > MOST_FOR_ONE_READER
        ? Optional.empty()
        : Rendezvous.rank(READERS, counted, Entry::host).stream().findFirst();
  }

  private static Map<String, Address> places(List<Entry> entries) {
    return entries.stream().collect(Collectors.toMap(Entry::host, Entry::address, (a, b) -> b));
  }

  private List<List<Address>> rankElsewhere() {
    Map<DataCentre, List<Entry>> elsewhere = new TreeMap<>(Comparator.comparing(DataCentre::value));
    for (Entry entry : counted) {
      if (!entry.dataCentre().equals(context.dataCentre())) {
        elsewhere.computeIfAbsent(entry.dataCentre(), any -> new ArrayList<>()).add(entry);
      }
    }
    return elsewhere.values().stream()
        .map(entries -> Rendezvous.rank(READERS, entries, Entry::host))
        .map(ranked -> ranked.stream().map(Entry::address).toList())
        .toList();
  }

  private void noteChange(int before, List<Entry> ranked) {
    String first = firstOf(ranked);
    if (counted.size() != before || !first.equals(firstOf(readers))) {
      context.logEvent(EventCode.HOSTS_KNOWN, self, "hosts=" + counted.size() + " reader=" + first);
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
  @Override
  public int hosts() {
    int least = readings < SETTLED_READINGS ? LEAST_AT_START : 1;
    return Math.max(least, counted.size());
  }

  /** Returns how many hosts have an entry, this one included; at least one. */
  @Override
  public int all() {
    return Math.max(1, counted.size());
  }

  /** Returns how many of them are in this data centre; at least one. */
  @Override
  public int here() {
    return Math.max(1, readers.size());
  }

  /**
   * Returns the host that reads the store for this one; empty if that is this one, or if no other
   * is known.
   *
   * <p>Where hosts are few, one reads for all data centres. While it does not answer, as when its
   * data centre is cut off, the first host of each data centre reads for its own.
   */
  public Optional<Address> reader(long now) {
    if (readerOfAll.isPresent() && readerOfAll.get().host().equals(self)) {
      return Optional.empty();
    }
    return readerOfAll
        .map(Entry::address)
        .filter(address -> !isAvoided(address, now))
        .or(() -> lender(now));
  }

  /**
   * Returns the host that lends repeats to those of this data centre, and the next one to read the
   * store for them; empty if that is this one. Hosts that were found not to answer are passed over.
   */
  public Optional<Address> lender(long now) {
    return before().stream().filter(address -> !isAvoided(address, now)).findFirst();
  }

  private boolean isAvoided(Address address, long now) {
    return avoidedUntil.getOrDefault(address, now) > now;
  }

  @Override
  public List<Address> before() {
    return readers.stream()
        .takeWhile(entry -> !entry.host().equals(self))
        .map(Entry::address)
        .toList();
  }

  @Override
  public List<List<Address>> elsewhere() {
    return readersElsewhere;
  }

  @Override
  public List<Address> lenders(DataCentre dataCentre, String key) {
    List<Entry> all = new ArrayList<>(counted);
    if (all.stream().noneMatch(entry -> entry.address().equals(address))) {
      all.add(new Entry(self, context.dataCentre(), address, 0));
    }
    Map<Boolean, List<Entry>> byPlace =
        Rendezvous.rank(key, all, Entry::host).stream()
            .collect(Collectors.partitioningBy(entry -> entry.dataCentre().equals(dataCentre)));
    return LenderDirectory.order(byPlace.get(true), byPlace.get(false)).stream()
        .map(Entry::address)
        .toList();
  }

  @Override
  public long changes() {
    return changes;
  }

  @Override
  public Address self() {
    return address;
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
