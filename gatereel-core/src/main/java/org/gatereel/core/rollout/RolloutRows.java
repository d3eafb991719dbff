package org.gatereel.core.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.gatereel.core.model.ServiceName;

/** The rows of all rollouts as they were read since the store's last return from an older copy. */
final class RolloutRows {
  private final Map<ServiceName, RolloutRecord> rows = new HashMap<>();
  private boolean read;
  private long offset;
  private long provenAt;

  /**
   * Updates the rows.
   *
   * @param storeMillis the store's clock when they were read
   * @param readAt when the request that returned them was sent, on this host's clock
   */
  void update(List<RolloutRecord> latest, long storeMillis, long readAt) {
    read = true;
    offset = storeMillis - readAt;
    provenAt = readAt;
    latest.forEach(row -> rows.put(row.service(), row));
  }

  /** Forgets all rows: after the store's return, their revisions may be those of others. */
  void clear() {
    rows.clear();
    read = false;
  }

  boolean isRead() {
    return read;
  }

  /** Returns the store's clock minus this host's. */
  long offset() {
    return offset;
  }

  /** Returns when the rows were read, on this host's clock. */
  long provenAt() {
    return provenAt;
  }

  Optional<RolloutRecord> find(ServiceName service) {
    return Optional.ofNullable(rows.get(service));
  }

  /** Returns the revision on which a write is conditioned; 0 if there is no row. */
  long revision(ServiceName service) {
    return find(service).map(RolloutRecord::revision).orElse(0L);
  }
}
