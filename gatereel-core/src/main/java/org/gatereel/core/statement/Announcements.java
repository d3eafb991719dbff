package org.gatereel.core.statement;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * What a response head or a probe report announces about its target.
 *
 * @param limit how many requests a second the target accepts from all hosts together
 * @param leaving whether the target is about to end and accepts no new requests
 * @param backoffMillis how long this host must send the target no requests
 * @param unknown the values of unknown headers and report fields, by name
 */
public record Announcements(
    Announcement<Double> limit,
    Announcement<Boolean> leaving,
    Announcement<Long> backoffMillis,
    Map<String, String> unknown) {
  public static final Announcements NONE =
      new Announcements(Announcement.none(), Announcement.none(), Announcement.none(), Map.of());

  private static final String FIELD_PREFIX = "report field ";

  public Announcements {
    unknown = Map.copyOf(unknown);
  }

  /** Returns a copy with another limit. */
  public Announcements withLimit(Announcement<Double> other) {
    return new Announcements(other, leaving, backoffMillis, unknown);
  }

  /** Returns a copy with another announcement on leaving. */
  public Announcements withLeaving(Announcement<Boolean> other) {
    return new Announcements(limit, other, backoffMillis, unknown);
  }

  /** Returns a copy with another backoff. */
  public Announcements withBackoffMillis(Announcement<Long> other) {
    return new Announcements(limit, leaving, other, unknown);
  }

  /** Returns a copy with additional unknown fields of a report. */
  public Announcements withUnknownFields(Set<String> names) {
    if (names.isEmpty()) {
      return this;
    }
    Map<String, String> all = new HashMap<>(unknown);
    names.forEach(name -> all.put(FIELD_PREFIX + name, ""));
    return new Announcements(limit, leaving, backoffMillis, all);
  }

  /** Returns whether the target has validly announced that it is leaving. */
  public boolean isLeaving() {
    return leaving.announced().orElse(false);
  }

  /** Returns the backoff in milliseconds; 0 if there is none or it cannot be parsed. */
  public long backoffMillisOrZero() {
    return backoffMillis.announced().orElse(0L);
  }
}
