package org.gatereel.core.load;

import java.util.List;
import org.gatereel.core.model.Address;

/**
 * Ranks the hosts of each data centre as gatherers: the first reachable one collects the load
 * reports of its data centre. All hosts of a data centre compute the same ranking.
 */
public interface GathererDirectory {
  /** Returns the hosts of this data centre that rank above this one; empty if it ranks first. */
  List<Address> higherRankedHosts();

  /** Returns the hosts of each other data centre in the order of their ranks. */
  List<List<Address>> hostsOfOtherDataCentres();
}
