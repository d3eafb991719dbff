package org.gatereel.core.reach;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.load.TargetLoad;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.TargetDescription;
import org.gatereel.core.model.TargetId;
import org.gatereel.core.target.TargetRegistry;
import org.gatereel.core.target.TargetState;

/**
 * Tracks to which targets this host can connect, and which hosts relay connections to the others.
 *
 * <p>The direct path to a target counts as lost once a direct connection failed and another host
 * connected to the same target. From then on its connections are relayed, and the direct path is
 * probed apart from callers' requests until the target responds over it.
 */
public final class TargetReachability {
  private static final long PROBE_INTERVAL_MILLIS = 500;

  /** After a probe succeeded, the paths to the other targets probably work again as well. */
  private static final long PROBE_INTERVAL_AFTER_SUCCESS_MILLIS = 20;

  /**
   * A target that another host could not connect to either is not asked for again for this time.
   */
  private static final long UNREACHABLE_MILLIS = 500;

  private final CoreContext context;
  private final TargetRegistry targets;
  private final Function<TargetId, TargetLoad> othersLoad;
  private final RelayPeers peers;
  private final Map<TargetId, ConnectOutcome> failures = new HashMap<>();

  /** When the direct path to each target was lost, in the order in which the paths are probed. */
  private final Map<TargetId, Long> lostPaths = new LinkedHashMap<>();

  /** Until when each target is known to be unreachable for other hosts as well. */
  private final Map<TargetId, Long> unreachableUntil = new HashMap<>();

  /** The failed targets to which another host could not connect either. */
  private final Set<TargetId> failedElsewhere = new HashSet<>();

  /**
   * The targets to which connections failed since the last one that was established, without those
   * to which another host could not connect either.
   */
  private final Set<TargetId> failedSinceConnected = new HashSet<>();

  private DirectProbe directProbe = (target, callback) -> callback.accept(false);
  private Consumer<TargetId> lostPathListener = target -> {};
  private boolean probing;

  /**
   * Creates a tracker.
   *
   * @param othersLoad returns the load that other hosts report at a target
   * @param directory the hosts that may relay connections
   */
  public TargetReachability(
      CoreContext context,
      TargetRegistry targets,
      Function<TargetId, TargetLoad> othersLoad,
      RelayDirectory directory) {
    this.context = context;
    this.targets = targets;
    this.othersLoad = othersLoad;
    this.peers = new RelayPeers(context, directory);
  }

  public void setDirectProbe(DirectProbe probe) {
    directProbe = probe;
  }

  /** Sets the listener that is called when the direct path to a target is found to be lost. */
  public void onLostPath(Consumer<TargetId> listener) {
    lostPathListener = listener;
  }

  /** Records how an attempt to connect directly to a target ended, and how long it took. */
  public void recordDirect(TargetId target, ConnectOutcome outcome, long millis) {
    if (outcome == ConnectOutcome.CONNECTED) {
      failedSinceConnected.clear();
      failedElsewhere.remove(target);
      boolean wasRelayed = lostPaths.remove(target) != null;
      if (failures.remove(target) != null) {
        context.logEvent(
            EventCode.CONNECTION_REGAINED,
            target.toString(),
            "millis=" + millis + " relayed=" + wasRelayed);
      }
      return;
    }
    removeUnlisted();
    if (!failedElsewhere.contains(target)) {
      failedSinceConnected.add(target);
    }
    if (failures.put(target, outcome) != outcome) {
      logLost(target, outcome, millis);
    }
  }

  private void removeUnlisted() {
    failures.keySet().removeIf(known -> targets.find(known).isEmpty());
    failedElsewhere.removeIf(known -> targets.find(known).isEmpty());
    failedSinceConnected.removeIf(known -> targets.find(known).isEmpty());
  }

  /** Logs a failure with what other hosts report, to tell a failed target from a failed link. */
  private void logLost(TargetId target, ConnectOutcome outcome, long millis) {
    TargetLoad others = othersLoad.apply(target);
    String failedElsewhere =
        others.failedAt() == TargetLoad.NEVER
            ? "-"
            : Long.toString(context.now() - others.failedAt());
    context.logEvent(
        EventCode.CONNECTION_LOST,
        target.toString(),
        "outcome="
            + outcome
            + " millis="
            + millis
            + " openElsewhere="
            + others.open()
            + " failedElsewhereMillis="
            + failedElsewhere);
  }

  /** Records how a request to a host to relay a connection ended, and how long it took. */
  public void recordRelayed(TargetId target, Address peer, RelayOutcome outcome, long millis) {
    peers.recordOutcome(peer, outcome);
    if (outcome == RelayOutcome.TARGET_UNREACHABLE) {
      unreachableUntil.values().removeIf(until -> until <= context.now());
      unreachableUntil.put(target, context.now() + UNREACHABLE_MILLIS);
      failedElsewhere.add(target);
      failedSinceConnected.remove(target);
    }
    if (outcome == RelayOutcome.CONNECTED) {
      failedElsewhere.remove(target);
    }
    if (outcome == RelayOutcome.CONNECTED && failures.containsKey(target)) {
      recordLostPath(target, "peer=" + peer + " millis=" + millis);
    }
  }

  /**
   * Records that direct connections to a target are established but break at once, while the target
   * responds through another host.
   */
  public void recordBrokenPath(TargetId target) {
    failures.put(target, ConnectOutcome.FAILED);
    recordLostPath(target, "broken after it was established");
  }

  private void recordLostPath(TargetId target, String inputs) {
    if (lostPaths.putIfAbsent(target, context.now()) == null) {
      context.logEvent(
          EventCode.RELAY_BEGUN,
          target.toString(),
          "direct=" + failures.get(target) + " " + inputs);
      lostPathListener.accept(target);
      probeLostPaths();
    }
  }

  /** Records the end of a connection that a host relayed. */
  public void recordRelayClosed(Address peer) {
    peers.recordClosed(peer);
  }

  /** Returns whether connections to a target must be relayed. */
  public boolean isPathLost(TargetId target) {
    return lostPaths.containsKey(target);
  }

  /** Returns when the direct path to a target was lost, in milliseconds; empty if it is not. */
  public OptionalLong pathLostAt(TargetId target) {
    Long lostAt = lostPaths.get(target);
    return lostAt == null ? OptionalLong.empty() : OptionalLong.of(lostAt);
  }

  /**
   * Returns the host to ask next for a relayed connection to a target; empty if none is left, or if
   * the target is known to be unreachable for other hosts as well.
   *
   * @param asked the hosts that were asked already
   */
  public Optional<Address> choosePeer(TargetId target, Set<Address> asked) {
    return isUnreachableForOthers(target) ? Optional.empty() : peers.choose(asked);
  }

  private boolean isUnreachableForOthers(TargetId target) {
    return unreachableUntil.getOrDefault(target, Long.MIN_VALUE) > context.now();
  }

  /**
   * Returns whether a failure to connect to a target shows that the target has failed: another host
   * could not connect either, or this host's connections to other targets do not fail.
   */
  public boolean isFailureOfTarget(TargetId target) {
    boolean othersFail = failedSinceConnected.stream().anyMatch(failed -> !failed.equals(target));
    return failedElsewhere.contains(target) || !othersFail;
  }

  /**
   * Returns a target whose last connection did not fail, to find out whether this host's network
   * works; empty if there is none.
   */
  public Optional<TargetDescription> chooseControlTarget() {
    List<TargetDescription> working =
        targets.all().stream()
            .filter(target -> !target.isLeaving())
            .map(TargetState::description)
            .filter(target -> !failures.containsKey(target.id()))
            .toList();
    return working.isEmpty()
        ? Optional.empty()
        : Optional.of(working.get(context.random().nextInt(working.size())));
  }

  /**
   * Returns the target to which this host relays a connection of another host; empty if this host
   * does not know it or has no direct path to it.
   */
  public Optional<TargetDescription> findRelayTarget(TargetId target) {
    return targets
        .find(target)
        .filter(known -> !lostPaths.containsKey(target))
        .map(TargetState::description);
  }

  private void probeLostPaths() {
    if (!probing) {
      probing = true;
      context.schedule(PROBE_INTERVAL_MILLIS, this::probeNext);
    }
  }

  private void probeNext() {
    lostPaths.keySet().removeIf(known -> targets.find(known).isEmpty());
    if (lostPaths.isEmpty()) {
      probing = false;
      return;
    }
    TargetId target = lostPaths.keySet().iterator().next();
    lostPaths.put(target, lostPaths.remove(target));
    long startedAt = context.now();
    try {
      directProbe.probe(
          targets.find(target).orElseThrow().description(),
          responded -> onProbeResult(target, responded, context.now() - startedAt));
    } catch (RuntimeException e) {
      onProbeResult(target, false, 0);
      throw e;
    }
  }

  private void onProbeResult(TargetId target, boolean responded, long millis) {
    context.schedule(
        responded ? PROBE_INTERVAL_AFTER_SUCCESS_MILLIS : PROBE_INTERVAL_MILLIS, this::probeNext);
    if (responded) {
      recordDirect(target, ConnectOutcome.CONNECTED, millis);
    }
  }

  /** Returns the number of targets to which the last direct connection failed. */
  public int unreachableCount() {
    return failures.size();
  }

  /** Returns the number of targets whose connections are relayed. */
  public int lostPathCount() {
    return lostPaths.size();
  }

  /** Returns the number of open connections that other hosts relay for this one. */
  public int relayedConnections() {
    return peers.openCount();
  }
}
