package org.gatereel.core.document;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against readings that are ordered by a version which falls when the store returns. */
class StoreReadingTest {
  private static StoreReading reading(long era, long number, long queriedAt, long answeredAt) {
    return new StoreReading(new StoreVersion(era, number), queriedAt, answeredAt);
  }

  private static StoreReading withoutEra(long number, long queriedAt, long answeredAt) {
    return reading(StoreVersion.UNKNOWN_ERA, number, queriedAt, answeredAt);
  }

  @Test
  void laterReadingIsNewerAlthoughTheVersionFell() {
    StoreReading before = withoutEra(400, 1_000, 1_010);
    StoreReading after = withoutEra(5, 1_011, 1_020);
    assertFalse(after.isOlderThan(before));
    assertTrue(before.isOlderThan(after));
    assertTrue(after.showsReturnSince(before));
  }

  @Test
  void ofOverlappingReadingsWithoutErasTheLowerVersionIsOlder() {
    StoreReading one = withoutEra(400, 1_000, 1_010);
    StoreReading other = withoutEra(399, 1_010, 1_020);
    assertTrue(other.isOlderThan(one));
    assertFalse(one.isOlderThan(other));
    assertFalse(other.showsReturnSince(one));
  }

  @Test
  void lateResponseOfAnEarlierEraIsOlder() {
    StoreReading newEra = reading(3, 5, 1_500, 1_510);
    StoreReading late = reading(2, 400, 1_000, 1_600);
    assertTrue(late.isOlderThan(newEra));
    assertFalse(newEra.isOlderThan(late));
    assertTrue(newEra.showsReturnSince(late));
  }

  @Test
  void ofOverlappingReadingsOfOneEraTheLowerVersionIsOlder() {
    StoreReading one = reading(3, 400, 1_000, 1_010);
    StoreReading other = reading(3, 399, 1_010, 1_020);
    assertTrue(other.isOlderThan(one));
    assertFalse(one.isOlderThan(other));
    assertFalse(other.showsReturnSince(one));
  }

  /** Guards against readings that all stay outdated if the store does not count its returns. */
  @Test
  void laterReadingIsNewerAlthoughTheVersionFellWithinItsEra() {
    StoreReading before = reading(3, 400, 1_000, 1_010);
    StoreReading after = reading(3, 399, 2_000, 2_010);
    assertFalse(after.isOlderThan(before));
    assertTrue(before.isOlderThan(after));
    assertTrue(after.showsReturnSince(before));
  }

  /** Guards against readings that all stay outdated after an era that was too high. */
  @Test
  void laterReadingIsNewerAlthoughTheEraFell() {
    StoreReading before = reading(9, 400, 1_000, 1_010);
    StoreReading after = reading(3, 401, 2_000, 2_010);
    assertFalse(after.isOlderThan(before));
    assertTrue(before.isOlderThan(after));
    assertTrue(after.showsReturnSince(before));
    assertFalse(before.showsReturnSince(after));
  }

  @Test
  void firstReadingWithAnEraShowsNoReturn() {
    StoreReading before = withoutEra(400, 1_000, 1_010);
    StoreReading after = reading(3, 401, 2_000, 2_010);
    assertFalse(after.isOlderThan(before));
    assertFalse(after.showsReturnSince(before));
  }
}
