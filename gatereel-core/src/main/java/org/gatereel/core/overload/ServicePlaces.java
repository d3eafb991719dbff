package org.gatereel.core.overload;

import java.util.function.Predicate;
import org.gatereel.core.load.LoadExchange;
import org.gatereel.core.room.TargetRoom;
import org.gatereel.core.target.TargetRegistry;
import org.gatereel.core.target.TargetState;

/**
 * Counts the free places at the engines of a service, over the requests of all hosts.
 *
 * <p>An engine reads one prompt after another, so that a further prompt only waits there. Its place
 * is free while fewer prompts than a limit are in progress and it has slots and memory.
 */
final class ServicePlaces {
  private final TargetRegistry targets;
  private final LoadExchange loads;
  private final Predicate<TargetState> isUsable;
  private TargetRoom room = TargetRoom.UNLIMITED;

  ServicePlaces(TargetRegistry targets, LoadExchange loads, Predicate<TargetState> isUsable) {
    this.targets = targets;
    this.loads = loads;
    this.isUsable = isUsable;
  }

  void setRoom(TargetRoom source) {
    room = source;
  }

  /** Returns how many prompts can be sent at {@code promptLimit} prompts for each engine. */
  double free(ArrivingRequest request, int promptLimit) {
    int places = 0;
    for (TargetState target : targets.notLeaving(request.service())) {
      if (isUsable.test(target)) {
        places += Math.max(0, promptLimit - promptsAt(target));
      }
    }
    return Math.min(places, room.freePlaces(request.service(), request.size()));
  }

  /** Returns how many prompts of all hosts an engine has not finished reading. */
  int promptsAt(TargetState target) {
    return target.localPrefills() + loads.othersLoad(target.description().id()).reading();
  }
}
