package org.gatereel.core;

import java.util.List;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostDescription;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.TargetDescription;

/**
 * What one entry host says of itself.
 *
 * @param openGenerations generations with a caller who waits
 * @param ownedGenerations generations in memory, delivered ones that linger included
 * @param heldCopies copies held for other hosts
 */
public record HostStatus(
    HostId host,
    DataCentre dataCentre,
    long revision,
    boolean draining,
    int openGenerations,
    int ownedGenerations,
    int heldCopies,
    int waiting,
    int openCalls,
    List<PeerStatus> peers,
    List<TargetStatus> targets) {
  public HostStatus {
    peers = List.copyOf(peers);
    targets = List.copyOf(targets);
  }

  /** One peer as this host sees it. */
  public record PeerStatus(HostDescription description, boolean answering) {}

  /** One target as this host sees it. */
  public record TargetStatus(
      TargetDescription description, boolean leaving, int openHere, double estimatedLoad) {}
}
