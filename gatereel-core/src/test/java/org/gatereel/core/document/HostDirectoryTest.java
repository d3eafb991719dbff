package org.gatereel.core.document;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.gatereel.core.document.HostDirectory.Entry;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.junit.jupiter.api.Test;

class HostDirectoryTest {
  private static final DataCentre NORTH = new DataCentre("north");
  private static final DataCentre SOUTH = new DataCentre("south");
  private static final long NOW = 1_000_000;

  private static Entry entry(int number, DataCentre dataCentre, long seenAt) {
    return new Entry("h" + number, dataCentre, address(number), seenAt);
  }

  private static Address address(int number) {
    return new Address("10.0.0." + number, 7_215);
  }

  private static HostDirectory directory(int number) {
    return new HostDirectory(context("h" + number), address(number));
  }

  private static CoreContext context(String host) {
    return new CoreContext(new HostId(host), NORTH, new SplittableRandom(1));
  }

  private static List<Entry> recentEntries(int count, DataCentre dataCentre) {
    List<Entry> entries = new ArrayList<>();
    for (int number = 1; number <= count; number++) {
      entries.add(entry(number, dataCentre, NOW));
    }
    return entries;
  }

  private static void updateRepeatedly(HostDirectory directory, List<Entry> entries) {
    for (int reading = 0; reading < 3; reading++) {
      directory.update(entries, NOW);
    }
  }

  @Test
  void writesOwnEntryUntilRecentEntryIsListed() {
    HostDirectory directory = directory(1);
    assertEquals(entry(1, NORTH, NOW), directory.update(List.of(), NOW).orElseThrow().own());
    assertTrue(directory.update(recentEntries(1, NORTH), NOW + 59_000).isEmpty());
    assertTrue(directory.update(recentEntries(1, NORTH), NOW + 60_000).isPresent());
  }

  @Test
  void doesNotRewriteEntryWithinMinInterval() {
    HostDirectory directory = directory(1);
    assertTrue(directory.update(List.of(), NOW).isPresent());
    assertTrue(directory.update(recentEntries(0, NORTH), NOW + 8_000).isEmpty());
    assertTrue(directory.update(recentEntries(0, NORTH), NOW + 9_000).isPresent());
  }

  @Test
  void rewritesEntryWhenAddressChanges() {
    HostDirectory directory = new HostDirectory(context("h1"), address(9));
    assertTrue(directory.update(recentEntries(1, NORTH), NOW).isPresent());
  }

  @Test
  void removesOnlyLongExpiredEntriesOfOtherHosts() {
    List<Entry> entries =
        List.of(
            entry(1, NORTH, NOW - 700_000),
            entry(2, NORTH, NOW - 700_000),
            entry(3, NORTH, NOW - 500_000));
    assertEquals(List.of("h2"), directory(1).update(entries, NOW).orElseThrow().expiredHosts());
  }

  /** Guards against an entry that never expires. */
  @Test
  void removesEntriesFromTheFuture() {
    List<Entry> entries = List.of(entry(1, NORTH, NOW - 700_000), entry(2, NORTH, Long.MAX_VALUE));
    assertEquals(List.of("h2"), directory(1).update(entries, NOW).orElseThrow().expiredHosts());
  }

  @Test
  void countsRecentEntriesAfterStartupReadings() {
    HostDirectory directory = directory(1);
    List<Entry> entries = new ArrayList<>(recentEntries(4, NORTH));
    entries.add(entry(5, SOUTH, NOW - 200_000));
    directory.update(entries, NOW);
    assertEquals(16, directory.estimatedHosts());
    updateRepeatedly(directory, entries);
    assertEquals(4, directory.estimatedHosts());
    assertEquals(16, directory(2).estimatedHosts());
  }

  @Test
  void hostsOfDataCentreAgreeOnOneReader() {
    List<Optional<Address>> readers = new ArrayList<>();
    for (int number = 1; number <= 5; number++) {
      HostDirectory directory = directory(number);
      directory.update(recentEntries(5, NORTH), NOW);
      readers.add(directory.reader(0));
    }
    assertEquals(1, readers.stream().filter(Optional::isEmpty).count());
    assertEquals(1, readers.stream().flatMap(Optional::stream).distinct().count());
  }

  @Test
  void logsEachHostChangeOnce() {
    CoreContext context = context("h1");
    HostDirectory directory = new HostDirectory(context, address(1));
    directory.update(recentEntries(3, NORTH), NOW);
    directory.update(recentEntries(3, NORTH), NOW + 1);
    directory.update(recentEntries(2, NORTH), NOW + 2);
    assertEquals(2, context.takeActions().size());
  }

  @Test
  void hostOfOtherDataCentreIsNotReaderWhenThereAreManyHosts() {
    HostDirectory directory = directory(99);
    directory.update(recentEntries(25, SOUTH), NOW);
    assertEquals(Optional.empty(), directory.reader(0));
    assertTrue(directory.anyOtherHost(new SplittableRandom(1)).isPresent());
  }

  @Test
  void oneHostReadsForAllDataCentresWhenThereAreFewHosts() {
    List<Entry> entries = new ArrayList<>(recentEntries(5, NORTH));
    entries.add(new Entry("h6", SOUTH, address(6), NOW));
    List<Optional<Address>> readers =
        entries.stream()
            .map(entry -> directory(Integer.parseInt(entry.host().substring(1))))
            .peek(directory -> directory.update(entries, NOW))
            .map(directory -> directory.reader(0))
            .toList();
    assertEquals(1, readers.stream().filter(Optional::isEmpty).count());
    assertEquals(1, readers.stream().flatMap(Optional::stream).distinct().count());
  }

  @Test
  void avoidedGlobalReaderIsReplacedTemporarilyAndIssuesNothingToOtherDataCentres() {
    HostDirectory directory = directory(99);
    directory.update(recentEntries(5, SOUTH), NOW);
    Address remote = directory.reader(0).orElseThrow();
    assertEquals(Optional.empty(), directory.issuer(0));
    directory.avoid(remote, 100);
    assertEquals(Optional.empty(), directory.reader(99));
    assertEquals(Optional.of(remote), directory.reader(100));
  }

  @Test
  void unresponsiveReaderIsReplacedTemporarily() {
    List<Entry> entries = recentEntries(5, NORTH);
    HostDirectory directory =
        entries.stream()
            .map(entry -> directory(Integer.parseInt(entry.host().substring(1))))
            .peek(each -> each.update(entries, NOW))
            .filter(each -> each.reader(0).isPresent())
            .findFirst()
            .orElseThrow();
    Address first = directory.reader(0).orElseThrow();
    directory.avoid(first, 100);
    assertTrue(!directory.reader(99).equals(Optional.of(first)));
    assertEquals(Optional.of(first), directory.reader(100));
  }
}
