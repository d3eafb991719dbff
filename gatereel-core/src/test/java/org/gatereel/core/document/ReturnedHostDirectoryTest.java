package org.gatereel.core.document;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.gatereel.core.document.HostDirectory.Entry;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.junit.jupiter.api.Test;

/** Guards against hosts that vanish since their entries are lost with the store's return. */
class ReturnedHostDirectoryTest {
  private static final DataCentre NORTH = new DataCentre("north");
  private static final long STORE_MILLIS = 1_000_000;
  private static final int HOSTS = 5;

  private final CoreContext context =
      new CoreContext(new HostId("h1"), NORTH, new SplittableRandom(1));
  private final HostDirectory directory = new HostDirectory(context, address(1));

  private static Address address(int number) {
    return new Address("10.0.0." + number, 7_215);
  }

  private static Entry entry(int number, long seenAt) {
    return new Entry("h" + number, NORTH, address(number), seenAt);
  }

  private static List<Entry> entries(int count) {
    List<Entry> entries = new ArrayList<>();
    for (int number = 1; number <= count; number++) {
      entries.add(entry(number, STORE_MILLIS));
    }
    return entries;
  }

  /** Knows all hosts, and writes its own entry, just before the store's return. */
  private void knowAllHosts() {
    assertTrue(directory.update(List.of(), STORE_MILLIS).isPresent());
    for (int reading = 0; reading < 3; reading++) {
      directory.update(entries(HOSTS), STORE_MILLIS);
    }
    directory.recordStoreReturn();
  }

  @Test
  void lostEntryIsWrittenAgainUponTheFirstReading() {
    knowAllHosts();

    assertTrue(directory.update(List.of(), STORE_MILLIS + 2_000).isPresent());
    assertTrue(directory.update(List.of(), STORE_MILLIS + 3_500).isEmpty());
  }

  @Test
  void lostEntryIsWrittenAgainIfTheClockOfTheStoreHasGoneBack() {
    knowAllHosts();
    long before = STORE_MILLIS - 50_000;

    assertEquals(before, directory.update(List.of(), before).orElseThrow().own().seenAt());
    assertTrue(directory.update(List.of(), before + 1_500).isEmpty());
    assertTrue(directory.update(List.of(), before + 9_000).isPresent());
  }

  @Test
  void entryThatTheCopyContainsIsNotWritten() {
    knowAllHosts();

    assertTrue(directory.update(entries(1), STORE_MILLIS + 2_000).isEmpty());
  }

  @Test
  void hostsThatTheCopyLacksAreKeptUntilTheyCanHaveWrittenAgain() {
    knowAllHosts();
    var readerBefore = directory.reader(context.now());
    context.advanceTo(2_000);
    directory.update(entries(2), STORE_MILLIS + 2_000);
    assertEquals(HOSTS, directory.estimatedHosts());
    assertEquals(readerBefore, directory.reader(context.now()));

    context.advanceTo(40_000);
    directory.update(entries(2), STORE_MILLIS + 40_000);
    assertEquals(2, directory.estimatedHosts());
  }

  @Test
  void knownAddressIsUsedInsteadOfTheOneInTheCopy() {
    knowAllHosts();
    Entry former = new Entry("h2", NORTH, address(99), STORE_MILLIS - 5_000);
    directory.update(List.of(entry(1, STORE_MILLIS), former), STORE_MILLIS + 2_000);
    assertTrue(directory.relayPeers().stream().noneMatch(p -> p.address().equals(address(99))));

    Entry later = new Entry("h2", NORTH, address(98), STORE_MILLIS + 3_000);
    directory.update(List.of(entry(1, STORE_MILLIS), later), STORE_MILLIS + 4_000);
    assertTrue(directory.relayPeers().stream().anyMatch(p -> p.address().equals(address(98))));
  }
}
