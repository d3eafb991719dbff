package org.gatereel.core.limit;

import java.util.List;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;

/** Knows which hosts may lend requests to a target. */
public interface LenderDirectory {
  /**
   * Returns all hosts in the order in which they are to lend under a key, this one included: those
   * of a data centre first, since who reaches a target there nearly always reaches them too.
   */
  List<Address> lenders(DataCentre dataCentre, String key);

  /** Returns a number that is another one whenever the hosts known are others. */
  long changes();

  /** Returns where other hosts ask this one. */
  Address self();

  /** Returns how many hosts there probably are, also before any of them is known. */
  int hosts();
}
