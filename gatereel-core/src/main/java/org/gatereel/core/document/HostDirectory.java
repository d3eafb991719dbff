package org.gatereel.core.document;

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
import org.gatereel.core.limit.IssuerDirectory;
import org.gatereel.core.load.GathererDirectory;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.reach.RelayDirectory;
import org.gatereel.core.reach.RelayPeer;

/**
 * Tracks the other hosts by their entries in the platform's store.
 *
 * <p>Common limits are divided by the number of hosts, and hosts query each other for documents;
 * approximate data suffices for both. A host rewrites its entry once a minute. An older entry is
 * soon ignored, and later removed by the next host that writes its own.
 */
public final class HostDirectory
    implements GathererDirectory, HostCount, IssuerDirectory, RelayDirectory {
  /** Assumed until all hosts that start together have had time to write their entries. */
  private static final int MIN_HOSTS_AT_START = 16;

  private static final int STARTUP_READINGS = 3;
  private static final long REFRESH_INTERVAL_MILLIS = 60_000;
  private static final long ENTRY_TIMEOUT_MILLIS = 3 * REFRESH_INTERVAL_MILLIS;
  private static final long ENTRY_REMOVAL_DELAY_MILLIS = 10 * REFRESH_INTERVAL_MILLIS;
  private static final int MAX_REMOVED_ENTRIES = 50;

  /**
   * Longer than the interval at which entries are read, so that a host sees its own entry before
   * writing it again.
   */
  private static final long MIN_REWRITE_INTERVAL_MILLIS = 9_000;

  private static final long NEVER = Long.MIN_VALUE / 2;
  private static final String READERS = "readers";

  /**
   * Up to this number, one host reads the store for all data centres, which halves the calls to the
   * store with six hosts in four data centres. With a bound of 2 s, a reader of 24 hosts answers 60
   * queries per second.
   */
  private static final int MAX_HOSTS_FOR_ONE_READER = 24;

  private final CoreContext context;
  private final String self;
  private final Address address;
  private final Map<Address, Long> avoidedUntil = new HashMap<>();
  private List<Entry> liveEntries = List.of();
  private List<Entry> localReaders = List.of();
  private Optional<Entry> globalReader = Optional.empty();
  private List<List<Address>> readersElsewhere = List.of();
  private List<RelayPeer> relayPeers = List.of();
  private int readings;
  private long changes;
  private final LostEntries lostEntries = new LostEntries();
  private boolean isReturnUnread;
  private long writtenAt = NEVER;

  /**
   * The entry of a host.
   *
   * @param address the address at which other hosts query it
   * @param seenAt when the entry was written, in milliseconds of the store's steady clock
   */
  public record Entry(String host, DataCentre dataCentre, Address address, long seenAt) {}

  /**
   * The changes to write: this host's entry, and the names of the hosts whose entries have expired.
   */
  public record Update(Entry own, List<String> expiredHosts) {}

  /**
   * Creates a directory without any hosts.
   *
   * @param address the address at which other hosts query this one
   */
  public HostDirectory(CoreContext context, Address address) {
    this.context = context;
    this.self = context.self().value();
    this.address = address;
  }

  /** Updates the directory from all entries; returns the changes to write, if any. */
  public Optional<Update> update(List<Entry> entries, long storeMillis) {
    readings++;
    List<Entry> previous = liveEntries;
    List<Entry> young =
        entries.stream()
            .filter(entry -> isYounger(entry, storeMillis, ENTRY_TIMEOUT_MILLIS))
            .toList();
    logMissing(young);
    liveEntries = lostEntries.addTo(young, context.nowIncludingSuspensions());
    if (!addressesByHost(previous).equals(addressesByHost(liveEntries))) {
      changes++;
    }
    List<Entry> localEntries =
        liveEntries.stream()
            .filter(entry -> entry.dataCentre().equals(context.dataCentre()))
            .toList();
    List<Entry> ranked = Rendezvous.rank(READERS, localEntries, Entry::host);
    logChange(previous.size(), ranked);
    localReaders = ranked;
    readersElsewhere = rankElsewhere();
    relayPeers = findRelayPeers();
    globalReader = findGlobalReader();
    if (isOwnFresh(entries, storeMillis) || storeMillis - writtenAt < MIN_REWRITE_INTERVAL_MILLIS) {
      return Optional.empty();
    }
    writtenAt = storeMillis;
    Entry ownEntry = new Entry(self, context.dataCentre(), address, storeMillis);
    return Optional.of(new Update(ownEntry, expiredEntries(entries, storeMillis)));
  }

  /**
   * Records that the store has returned from an older copy, which may lack entries of live hosts,
   * this one's included.
   */
  public void recordStoreReturn() {
    lostEntries.keep(liveEntries, context.nowIncludingSuspensions());
    isReturnUnread = true;
    writtenAt = NEVER;
  }

  private void logMissing(List<Entry> listed) {
    if (isReturnUnread) {
      isReturnUnread = false;
      int missing = lostEntries.countMissing(listed);
      if (missing > 0) {
        context.logEvent(
            EventCode.HOSTS_RETAINED, self, "missing=" + missing + " listed=" + listed.size());
      }
    }
  }

  private Optional<Entry> findGlobalReader() {
    return liveEntries.size() > MAX_HOSTS_FOR_ONE_READER
        ? Optional.empty()
        : Rendezvous.rank(READERS, liveEntries, Entry::host).stream().findFirst();
  }

  private static Map<String, Address> addressesByHost(List<Entry> entries) {
    return entries.stream().collect(Collectors.toMap(Entry::host, Entry::address, (a, b) -> b));
  }

  private List<List<Address>> rankElsewhere() {
    Map<DataCentre, List<Entry>> elsewhere = new TreeMap<>(Comparator.comparing(DataCentre::value));
    for (Entry entry : liveEntries) {
      if (!entry.dataCentre().equals(context.dataCentre())) {
        elsewhere.computeIfAbsent(entry.dataCentre(), any -> new ArrayList<>()).add(entry);
      }
    }
    return elsewhere.values().stream()
        .map(entries -> Rendezvous.rank(READERS, entries, Entry::host))
        .map(ranked -> ranked.stream().map(Entry::address).toList())
        .toList();
  }

  private List<RelayPeer> findRelayPeers() {
    return liveEntries.stream()
        .filter(entry -> !entry.host().equals(self) && !entry.address().equals(address))
        .map(entry -> new RelayPeer(entry.address(), entry.dataCentre()))
        .toList();
  }

  private void logChange(int previousCount, List<Entry> ranked) {
    String first = firstOf(ranked);
    if (liveEntries.size() != previousCount || !first.equals(firstOf(localReaders))) {
      context.logEvent(
          EventCode.HOSTS_KNOWN, self, "hosts=" + liveEntries.size() + " reader=" + first);
    }
  }

  private static String firstOf(List<Entry> ranked) {
    return ranked.isEmpty() ? "-" : ranked.get(0).host();
  }

  /** Returns whether this host's entry is current and not due for a rewrite. */
  private boolean isOwnFresh(List<Entry> entries, long storeMillis) {
    return entries.stream()
        .filter(entry -> entry.host().equals(self))
        .filter(entry -> entry.address().equals(address))
        .anyMatch(entry -> isYounger(entry, storeMillis, REFRESH_INTERVAL_MILLIS));
  }

  private List<String> expiredEntries(List<Entry> entries, long storeMillis) {
    return entries.stream()
        .filter(entry -> !isYounger(entry, storeMillis, ENTRY_REMOVAL_DELAY_MILLIS))
        .map(Entry::host)
        .filter(host -> !host.equals(self))
        .limit(MAX_REMOVED_ENTRIES)
        .toList();
  }

  /** An entry from the future is not young: it would never expire. */
  private static boolean isYounger(Entry entry, long storeMillis, long ageMillis) {
    long entryAgeMillis = storeMillis - entry.seenAt();
    return entryAgeMillis < ageMillis && entryAgeMillis > -REFRESH_INTERVAL_MILLIS;
  }

  /** Returns the estimated number of hosts, including this one; at least one. */
  @Override
  public int estimatedHosts() {
    int minimum = readings < STARTUP_READINGS ? MIN_HOSTS_AT_START : 1;
    return Math.max(minimum, liveEntries.size());
  }

  /** Returns the number of hosts that have an entry; at least one. */
  @Override
  public int allHosts() {
    return Math.max(1, liveEntries.size());
  }

  /** Returns the number of hosts in this data centre that have an entry; at least one. */
  @Override
  public int localHosts() {
    return Math.max(1, localReaders.size());
  }

  /**
   * Returns the host that reads the store for this one; empty if this host reads it itself.
   *
   * <p>With few hosts, one reads for all data centres. While it does not respond, the first host of
   * each data centre reads for its own.
   */
  public Optional<Address> reader(long now) {
    if (globalReader.isPresent() && globalReader.get().host().equals(self)) {
      return Optional.empty();
    }
    return globalReader
        .map(Entry::address)
        .filter(address -> !isAvoided(address, now))
        .or(() -> issuer(now));
  }

  /**
   * Returns the host that grants retries to the hosts of this data centre, and that reads the store
   * for them if the global reader does not respond; empty if it is this one. Avoided hosts are
   * skipped.
   */
  public Optional<Address> issuer(long now) {
    return higherRankedHosts().stream().filter(address -> !isAvoided(address, now)).findFirst();
  }

  private boolean isAvoided(Address address, long now) {
    return avoidedUntil.getOrDefault(address, now) > now;
  }

  @Override
  public List<Address> higherRankedHosts() {
    return localReaders.stream()
        .takeWhile(entry -> !entry.host().equals(self))
        .map(Entry::address)
        .toList();
  }

  @Override
  public List<List<Address>> hostsOfOtherDataCentres() {
    return readersElsewhere;
  }

  @Override
  public List<RelayPeer> relayPeers() {
    return relayPeers;
  }

  @Override
  public List<Address> rankedIssuers(DataCentre dataCentre, String key) {
    List<Entry> all = new ArrayList<>(liveEntries);
    if (all.stream().noneMatch(entry -> entry.address().equals(address))) {
      all.add(new Entry(self, context.dataCentre(), address, 0));
    }
    Map<Boolean, List<Entry>> byIsLocal =
        Rendezvous.rank(key, all, Entry::host).stream()
            .collect(Collectors.partitioningBy(entry -> entry.dataCentre().equals(dataCentre)));
    return IssuerDirectory.order(byIsLocal.get(true), byIsLocal.get(false)).stream()
        .map(Entry::address)
        .toList();
  }

  @Override
  public long version() {
    return changes;
  }

  @Override
  public Address self() {
    return address;
  }

  /** Does not use a host as a reader until a time. */
  public void avoid(Address host, long until) {
    avoidedUntil.values().removeIf(time -> time <= context.now());
    avoidedUntil.put(host, until);
  }

  /** Returns some other hosts: the reader, if it is another one, and random ones. */
  public List<Address> otherHosts(int count, RandomGenerator random) {
    List<Address> chosen = new ArrayList<>(reader(context.now()).stream().toList());
    List<Address> others = new ArrayList<>();
    for (Entry entry : liveEntries) {
      if (!entry.host().equals(self) && !chosen.contains(entry.address())) {
        others.add(entry.address());
      }
    }
    while (chosen.size() < count && !others.isEmpty()) {
      chosen.add(others.remove(random.nextInt(others.size())));
    }
    return chosen;
  }

  /** Returns a random other host of any data centre. */
  public Optional<Address> anyOtherHost(RandomGenerator random) {
    List<Entry> others = liveEntries.stream().filter(entry -> !entry.host().equals(self)).toList();
    if (others.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(others.get(random.nextInt(others.size())).address());
  }
}
