package org.gatereel.core.room;

import java.util.Map;
import org.gatereel.core.estimate.RequestSize;
import org.gatereel.core.load.DemandKey;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.target.TargetState;

/** Tells how much room targets have, over the requests of all hosts. */
public interface TargetRoom {
  /** Has room for any request, so that callers fall back to counts. */
  TargetRoom UNLIMITED =
      new TargetRoom() {
        @Override
        public boolean hasRoom(TargetState target, RequestSize size) {
          return true;
        }

        @Override
        public double freePlaces(ServiceName service, RequestSize size) {
          return Double.POSITIVE_INFINITY;
        }
      };

  /** Returns whether the target can start a request of this size at once. */
  boolean hasRoom(TargetState target, RequestSize size);

  /**
   * Returns how many requests of this size the usable targets of a service can start at once;
   * infinite if it is not limited.
   */
  double freePlaces(ServiceName service, RequestSize size);

  /** Returns how many requests wait at this host for room, by service, to report to others. */
  default Map<DemandKey, Double> waitingToReport() {
    return Map.of();
  }
}
