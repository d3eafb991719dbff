package org.gatereel.core.reach;

import java.util.function.Consumer;
import org.gatereel.core.model.TargetDescription;

/** Tests whether this host reaches a target over a direct connection. */
public interface DirectProbe {
  /** Probes a target; the callback receives exactly one result, whether the target responded. */
  void probe(TargetDescription target, Consumer<Boolean> callback);
}
