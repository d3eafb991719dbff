package org.gatereel.core.forward;

import java.util.function.IntConsumer;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.ServiceName;

/** The way to the host that lends repeats to the others of its data centre. */
public interface RepeatPort {
  /**
   * Asks another host for repeats of a service's requests.
   *
   * @param answer is told once, later, how many were lent; none if the host does not answer
   */
  void borrow(Address lender, ServiceName service, int count, IntConsumer answer);
}
