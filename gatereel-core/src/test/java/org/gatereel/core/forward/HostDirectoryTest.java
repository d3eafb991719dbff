package org.gatereel.core.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.gatereel.core.forward.HostDirectory.Entry;
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

  private static List<Entry> young(int count, DataCentre dataCentre) {
    List<Entry> entries = new ArrayList<>();
    for (int number = 1; number <= count; number++) {
      entries.add(entry(number, dataCentre, NOW));
    }
    return entries;
  }

  private static void learnOften(HostDirectory directory, List<Entry> entries) {
    for (int reading = 0; reading < 3; reading++) {
      directory.update(entries, NOW);
    }
  }

  @Test
  void writesItsOwnEntryUntilItSeesAYoungOne() {
    HostDirectory directory = directory(1);
    assertEquals(entry(1, NORTH, NOW), directory.update(List.of(), NOW).orElseThrow().own());
    assertTrue(directory.update(young(1, NORTH), NOW + 59_000).isEmpty());
    assertTrue(directory.update(young(1, NORTH), NOW + 60_000).isPresent());
  }

  @Test
  void doesNotWriteAgainBeforeItsEntryCanHaveBeenRead() {
    HostDirectory directory = directory(1);
    assertTrue(directory.update(List.of(), NOW).isPresent());
    assertTrue(directory.update(young(0, NORTH), NOW + 8_000).isEmpty());
    assertTrue(directory.update(young(0, NORTH), NOW + 9_000).isPresent());
  }

  @Test
  void writesItsEntryAnewWhenItHasAnotherAddress() {
    HostDirectory directory = new HostDirectory(context("h1"), address(9));
    assertTrue(directory.update(young(1, NORTH), NOW).isPresent());
  }

  @Test
  void removesOnlyWhatIsLongOutdatedAndNeverItself() {
    List<Entry> entries =
        List.of(
            entry(1, NORTH, NOW - 700_000),
            entry(2, NORTH, NOW - 700_000),
            entry(3, NORTH, NOW - 500_000));
    assertEquals(List.of("h2"), directory(1).update(entries, NOW).orElseThrow().expiredHosts());
  }

  @Test
  void countsYoungEntriesOnceHostsHadTimeToWrite() {
    HostDirectory directory = directory(1);
    List<Entry> entries = new ArrayList<>(young(4, NORTH));
    entries.add(entry(5, SOUTH, NOW - 200_000));
    directory.update(entries, NOW);
    assertEquals(16, directory.estimatedHosts());
    learnOften(directory, entries);
    assertEquals(4, directory.estimatedHosts());
    assertEquals(16, directory(2).estimatedHosts());
  }

  @Test
  void hostsOfADataCentreAgreeOnOneReaderThere() {
    List<Optional<Address>> readers = new ArrayList<>();
    for (int number = 1; number <= 5; number++) {
      HostDirectory directory = directory(number);
      directory.update(young(5, NORTH), NOW);
      readers.add(directory.reader(0));
    }
    assertEquals(1, readers.stream().filter(Optional::isEmpty).count());
    assertEquals(1, readers.stream().flatMap(Optional::stream).distinct().count());
  }

  @Test
  void tellsOnceOfAChangeOfItsHosts() {
    CoreContext context = context("h1");
    HostDirectory directory = new HostDirectory(context, address(1));
    directory.update(young(3, NORTH), NOW);
    directory.update(young(3, NORTH), NOW + 1);
    directory.update(young(2, NORTH), NOW + 2);
    assertEquals(2, context.takeActions().size());
  }

  @Test
  void whereHostsAreManyAHostOfAnotherDataCentreIsNoReader() {
    HostDirectory directory = directory(99);
    directory.update(young(25, SOUTH), NOW);
    assertEquals(Optional.empty(), directory.reader(0));
    assertTrue(directory.anyOtherHost(new SplittableRandom(1)).isPresent());
  }

  @Test
  void whereHostsAreFewOneReadsForAllDataCentres() {
    List<Entry> entries = new ArrayList<>(young(5, NORTH));
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
  void aSilentReaderOfAllIsReplacedByTheFirstOfTheOwnDataCentreAndLendsNothingElsewhere() {
    HostDirectory directory = directory(99);
    directory.update(young(5, SOUTH), NOW);
    Address far = directory.reader(0).orElseThrow();
    assertEquals(Optional.empty(), directory.issuer(0));
    directory.avoid(far, 100);
    assertEquals(Optional.empty(), directory.reader(99));
    assertEquals(Optional.of(far), directory.reader(100));
  }

  @Test
  void aReaderThatDoesNotAnswerIsReplacedByTheNextForAWhile() {
    List<Entry> entries = young(5, NORTH);
    HostDirectory last =
        entries.stream()
            .map(entry -> directory(Integer.parseInt(entry.host().substring(1))))
            .peek(directory -> directory.update(entries, NOW))
            .filter(directory -> directory.reader(0).isPresent())
            .findFirst()
            .orElseThrow();
    Address first = last.reader(0).orElseThrow();
    last.avoid(first, 100);
    assertTrue(!last.reader(99).equals(Optional.of(first)));
    assertEquals(Optional.of(first), last.reader(100));
  }
}
