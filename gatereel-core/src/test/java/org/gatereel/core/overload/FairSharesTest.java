package org.gatereel.core.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.gatereel.core.load.DemandKey;
import org.gatereel.core.model.AccountId;
import org.gatereel.core.model.ServiceName;
import org.junit.jupiter.api.Test;

class FairSharesTest {
  private static final ServiceName ENGINES = new ServiceName("engines");
  private static final double EXACT = 1e-9;

  private static DemandKey account(int priority, String name) {
    return new DemandKey(ENGINES, priority, Optional.of(new AccountId(name)));
  }

  @Test
  void anAccountBelowItsShareIsServedFullyAndTheOthersDivideTheRest() {
    Map<DemandKey, Double> demand =
        Map.of(account(1, "small"), 2.0, account(1, "large"), 30.0, account(1, "hot"), 100.0);

    FairShares shares = FairShares.of(42, demand);

    assertEquals(1, shares.admittedRatio(account(1, "small"), 2));
    assertEquals(20.0 / 30, shares.admittedRatio(account(1, "large"), 30), EXACT);
    assertEquals(20.0 / 100, shares.admittedRatio(account(1, "hot"), 100), EXACT);
  }

  @Test
  void aHigherPriorityIsServedFirst() {
    Map<DemandKey, Double> demand = Map.of(account(0, "a"), 30.0, account(2, "b"), 30.0);

    FairShares shares = FairShares.of(40, demand);

    assertEquals(1, shares.admittedRatio(account(0, "a"), 30));
    assertEquals(10.0 / 30, shares.admittedRatio(account(2, "b"), 30), EXACT);
  }

  @Test
  void allAccountsAreServedFullyWithinCapacity() {
    FairShares shares = FairShares.of(10, Map.of(account(1, "a"), 4.0, account(1, "b"), 6.0));

    assertEquals(1, shares.admittedRatio(account(1, "b"), 6));
  }

  @Test
  void anAccountWithoutCountedDemandIsServed() {
    FairShares shares = FairShares.of(1, Map.of(account(1, "a"), 4.0));

    assertEquals(1, shares.admittedRatio(account(3, "new"), 1));
  }

  @Property(tries = 200, seed = "20261202")
  void admittedDemandEqualsTheSmallerOfCapacityAndDemand(
      @ForAll @Size(min = 1, max = 20) List<@DoubleRange(min = 0.1, max = 50) Double> rates,
      @ForAll @DoubleRange(min = 0.5, max = 300) double available) {
    Map<DemandKey, Double> demand = new HashMap<>();
    for (int index = 0; index < rates.size(); index++) {
      demand.put(account(index % 3, "a" + index), rates.get(index));
    }
    FairShares shares = FairShares.of(available, demand);
    double served = 0;
    double requested = 0;
    for (Map.Entry<DemandKey, Double> entry : demand.entrySet()) {
      served += entry.getValue() * shares.admittedRatio(entry.getKey(), entry.getValue());
      requested += entry.getValue();
    }

    assertEquals(Math.min(available, requested), served, 1e-6 * requested);
    assertTrue(served <= available + 1e-6);
  }
}
