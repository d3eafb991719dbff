package org.gatereel.core.load;

import java.util.List;
import org.gatereel.core.internal.GossipFacts;

/** Which hosts' requests a report counts. */
public enum LoadScope {
  /** Those of the sender; sent to the gatherer of its data centre. */
  HOST,
  /** Those of all hosts of the sender's data centre; sent to the gatherers of other ones. */
  DATA_CENTRE,
  /**
   * Those of all hosts but the receiver; sent by a gatherer to a host of its data centre. The
   * receiver does not forward them, so that no request is counted twice.
   */
  EVERYONE_ELSE;

  private static final List<GossipFacts.Priority> ALL_FACTS =
      List.of(GossipFacts.Priority.DECISIVE, GossipFacts.Priority.SUPPORTING);

  private static final List<GossipFacts.Priority> DECISIVE_FACTS =
      List.of(GossipFacts.Priority.DECISIVE);

  /** More hosts than any deployment has. */
  private static final int MAX_HOSTS = 1_000;

  /** Returns the highest weight of learnt times that a report of this scope may claim. */
  double maxTimesWeight() {
    return LearntTime.MAX_HOST_WEIGHT * (this == HOST ? 1 : MAX_HOSTS);
  }

  /**
   * Returns which facts a report of this scope carries, the most urgent first. Only gatherers
   * collect facts that do not change a decision by themselves.
   */
  List<GossipFacts.Priority> factPriorities() {
    return this == EVERYONE_ELSE ? DECISIVE_FACTS : ALL_FACTS;
  }
}
