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

  private static DemandKey account(int rank, String name) {
    return new DemandKey(ENGINES, rank, Optional.of(new AccountId(name)));
  }

  @Test
  void whoAsksForLittleGetsAllAndTheOthersShareTheRest() {
    Map<DemandKey, Double> asked =
        Map.of(account(1, "small"), 2.0, account(1, "large"), 30.0, account(1, "hot"), 100.0);

    FairShares shares = FairShares.of(42, asked);

    assertEquals(1, shares.admittedRatio(account(1, "small"), 2));
    assertEquals(20.0 / 30, shares.admittedRatio(account(1, "large"), 30), EXACT);
    assertEquals(20.0 / 100, shares.admittedRatio(account(1, "hot"), 100), EXACT);
  }

  @Test
  void aMoreUrgentRankIsServedBeforeAnother() {
    Map<DemandKey, Double> asked = Map.of(account(0, "a"), 30.0, account(2, "b"), 30.0);

    FairShares shares = FairShares.of(40, asked);

    assertEquals(1, shares.admittedRatio(account(0, "a"), 30));
    assertEquals(10.0 / 30, shares.admittedRatio(account(2, "b"), 30), EXACT);
  }

  @Test
  void whereThereIsEnoughAllGetAll() {
    FairShares shares = FairShares.of(10, Map.of(account(1, "a"), 4.0, account(1, "b"), 6.0));

    assertEquals(1, shares.admittedRatio(account(1, "b"), 6));
  }

  @Test
  void whoeverWasNotCountedYetIsServed() {
    FairShares shares = FairShares.of(1, Map.of(account(1, "a"), 4.0));

    assertEquals(1, shares.admittedRatio(account(3, "new"), 1));
  }

  @Property(tries = 200, seed = "20261202")
  void neverMoreThanThereIsAndNoneLeftOverWhileSomebodyLacks(
      @ForAll @Size(min = 1, max = 20) List<@DoubleRange(min = 0.1, max = 50) Double> rates,
      @ForAll @DoubleRange(min = 0.5, max = 300) double available) {
    Map<DemandKey, Double> asked = new HashMap<>();
    for (int index = 0; index < rates.size(); index++) {
      asked.put(account(index % 3, "a" + index), rates.get(index));
    }
    FairShares shares = FairShares.of(available, asked);
    double served = 0;
    double wanted = 0;
    for (Map.Entry<DemandKey, Double> entry : asked.entrySet()) {
      served += entry.getValue() * shares.admittedRatio(entry.getKey(), entry.getValue());
      wanted += entry.getValue();
    }

    assertEquals(Math.min(available, wanted), served, 1e-6 * wanted);
    assertTrue(served <= available + 1e-6);
  }
}
