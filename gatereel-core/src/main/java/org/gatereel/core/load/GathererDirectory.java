package org.gatereel.core.load;

import java.util.List;
import org.gatereel.core.model.Address;

/** Knows which hosts gather loads, as all hosts of a data centre rank them alike. */
public interface GathererDirectory {
  /** Returns the hosts of this data centre that rank before this one; empty if it is the first. */
  List<Address> higherRankedHosts();

  /** Returns the hosts of each other data centre in the order in which they gather for it. */
  List<List<Address>> hostsOfOtherDataCentres();
}
