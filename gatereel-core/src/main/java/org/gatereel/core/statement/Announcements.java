package org.gatereel.core.statement;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * What the head of one answer, or a report, says of its target.
 *
 * @param limit how many requests a second the target takes from all hosts together
 * @param leaving whether the target is about to end and wants nothing new
 * @param backoffMillis for how long the target wants nothing from this host
 * @param unknown the values of headers and fields that nothing reads, by their names
 */
public record Announcements(
    Announcement<Double> limit,
    Announcement<Boolean> leaving,
    Announcement<Long> backoffMillis,
    Map<String, String> unknown) {
  /** An answer that says nothing. */
  public static final Announcements NONE =
      new Announcements(Announcement.none(), Announcement.none(), Announcement.none(), Map.of());

  private static final String FIELD_PREFIX = "report field ";

  public Announcements {
    unknown = Map.copyOf(unknown);
  }

  /** Returns the same with another limit. */
  public Announcements withLimit(Announcement<Double> other) {
    return new Announcements(other, leaving, backoffMillis, unknown);
  }

  /** Returns the same with another word on leaving. */
  public Announcements withLeaving(Announcement<Boolean> other) {
    return new Announcements(limit, other, backoffMillis, unknown);
  }

  /** Returns the same with another rest. */
  public Announcements withBackoffMillis(Announcement<Long> other) {
    return new Announcements(limit, leaving, other, unknown);
  }

  /** Returns the same with fields of a report that nothing reads. */
  public Announcements withUnknownFields(Set<String> names) {
    if (names.isEmpty()) {
      return this;
    }
    Map<String, String> all = new HashMap<>(unknown);
    names.forEach(name -> all.put(FIELD_PREFIX + name, ""));
    return new Announcements(limit, leaving, backoffMillis, all);
  }

  /** Returns whether the target leaves, as far as that can be read. */
  public boolean isLeaving() {
    return leaving.announced().orElse(false);
  }

  /** Returns for how long the target wants rest; 0 if it wants none, or that cannot be read. */
  public long backoffMillisOrZero() {
    return backoffMillis.announced().orElse(0L);
  }
}
