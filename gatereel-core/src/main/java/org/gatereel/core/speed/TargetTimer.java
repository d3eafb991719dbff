package org.gatereel.core.speed;

import org.gatereel.core.load.TargetTimes;

/** The times that this host has learnt of one target. */
record TargetTimer(LastingTime event, LastingTime work) {
  TargetTimer() {
    this(new LastingTime(), new LastingTime());
  }

  TargetTimes at(long now) {
    return new TargetTimes(event.at(now), work.at(now));
  }
}
