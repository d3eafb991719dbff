package org.gatereel.core.limit;

import java.util.ArrayList;
import java.util.List;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;

/** Knows which hosts may lend requests to a target. */
public interface IssuerDirectory {
  /**
   * How many hosts of the target's data centre come first. Where these are silent all of them
   * probably are, and the next one is found elsewhere.
   */
  int LOCAL_HOSTS_FIRST = 2;

  /**
   * Returns all hosts in the order in which they are to lend under a key, this one included.
   *
   * @param dataCentre where the target is
   */
  List<Address> rankedIssuers(DataCentre dataCentre, String key);

  /**
   * Puts ranked hosts into the order in which they are to lend: who reaches a target nearly always
   * reaches hosts beside it, so that some of these come first.
   *
   * @param here those of the target's data centre
   * @param elsewhere all others
   */
  static <T> List<T> order(List<T> here, List<T> elsewhere) {
    List<T> order = new ArrayList<>(here.subList(0, Math.min(LOCAL_HOSTS_FIRST, here.size())));
    order.addAll(elsewhere);
    order.addAll(here.subList(Math.min(LOCAL_HOSTS_FIRST, here.size()), here.size()));
    return order;
  }

  /** Returns a number that is another one whenever the hosts known are others. */
  long version();

  /** Returns where other hosts ask this one. */
  Address self();

  /** Returns how many hosts there probably are, also before any of them is known. */
  int estimatedHosts();
}
