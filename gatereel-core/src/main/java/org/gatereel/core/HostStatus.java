package org.gatereel.core;

import java.util.List;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostDescription;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.TargetDescription;

/**
 * A snapshot of the status of an entry host.
 *
 * @param openGenerations the number of generations with a connected caller
 * @param ownedGenerations the number of generations in memory, including delivered ones that have
 *     not expired
 * @param heldCopies the number of copies held for other hosts
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

  /** The status of a peer as known by this host. */
  public record PeerStatus(HostDescription description, boolean answering) {}

  /** The status of a target as known by this host. */
  public record TargetStatus(
      TargetDescription description, boolean leaving, int openHere, double estimatedLoad) {}
}
