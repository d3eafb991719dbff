package org.gatereel.core.limit;

import java.util.ArrayList;
import java.util.List;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;

/** Ranks the hosts that may issue the tokens of a target. */
public interface IssuerDirectory {
  /**
   * How many hosts of the data centre of the target rank first. If none of them responds, the data
   * centre is probably unreachable, and a host of another one follows.
   */
  int LOCAL_HOSTS_FIRST = 2;

  /**
   * Returns all hosts, including this one, in the order in which they issue tokens for a key.
   *
   * @param dataCentre the data centre of the target
   */
  List<Address> rankedIssuers(DataCentre dataCentre, String key);

  /**
   * Orders ranked hosts: some of the data centre of the target first, because they are likely to be
   * reachable if the target is; then all of other data centres, then the rest.
   *
   * @param local the hosts of the data centre of the target
   * @param remote all other hosts
   */
  static <T> List<T> order(List<T> local, List<T> remote) {
    List<T> order = new ArrayList<>(local.subList(0, Math.min(LOCAL_HOSTS_FIRST, local.size())));
    order.addAll(remote);
    order.addAll(local.subList(Math.min(LOCAL_HOSTS_FIRST, local.size()), local.size()));
    return order;
  }

  /** Returns a number that changes whenever the known hosts change. */
  long version();

  /** Returns the address at which other hosts reach this one. */
  Address self();

  /** Returns the estimated number of hosts, also before any other host is known. */
  int estimatedHosts();
}
