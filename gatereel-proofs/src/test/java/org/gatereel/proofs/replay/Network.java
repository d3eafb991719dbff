package org.gatereel.proofs.replay;

import java.util.HashMap;
import java.util.Map;
import org.gatereel.core.model.DataCentre;

/** How long messages take, and between which data centres none arrive. */
final class Network {
  private static final long NEAR_MICROS = 200;
  private static final long FAR_MICROS = 900;

  private final Map<DataCentre, Boolean> cut = new HashMap<>();

  /** Returns the delay of a message, one way, in microseconds. */
  long delayMicros(DataCentre from, DataCentre to) {
    return from.equals(to) ? NEAR_MICROS : FAR_MICROS;
  }

  boolean reaches(DataCentre from, DataCentre to) {
    return from.equals(to) || !(cut.containsKey(from) || cut.containsKey(to));
  }

  /** Returns whether what does not arrive is answered by a reset, and not by silence. */
  boolean resets(DataCentre from, DataCentre to) {
    return cut.getOrDefault(from, false) || cut.getOrDefault(to, false);
  }

  void cut(DataCentre dataCentre, boolean resets) {
    cut.put(dataCentre, resets);
  }

  void mend(DataCentre dataCentre) {
    cut.remove(dataCentre);
  }
}
