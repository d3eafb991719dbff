package org.gatereel.core.estimate;

import java.util.OptionalDouble;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.target.TargetState;

/**
 * Estimates the time until the first event of a stream, or until the response of a call.
 *
 * <p>Estimates include the requests that the target is known to have before this one.
 */
public interface FirstEventEstimates {
  /** Knows no times, so that callers fall back to counts. */
  FirstEventEstimates UNKNOWN =
      new FirstEventEstimates() {
        @Override
        public OptionalDouble expectedMillis(TargetState target, RequestSize size) {
          return OptionalDouble.empty();
        }

        @Override
        public OptionalDouble unloadedMillis(ServiceName service, RequestSize size) {
          return OptionalDouble.empty();
        }

        @Override
        public double relativeTime(TargetState target) {
          return 1;
        }
      };

  /**
   * Returns the expected time in milliseconds for a request that is sent to the target now; empty
   * if no response of its service was observed.
   */
  OptionalDouble expectedMillis(TargetState target, RequestSize size);

  /**
   * Returns the time in milliseconds at an idle target of median speed; empty if no response of the
   * service was observed.
   */
  OptionalDouble unloadedMillis(ServiceName service, RequestSize size);

  /**
   * Returns the time that the target takes for the same work, relative to the median of its
   * service; 1 if unknown, above 1 for a slow target.
   */
  double relativeTime(TargetState target);
}
