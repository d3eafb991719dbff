package org.gatereel.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.gatereel.core.model.AccountId;
import org.junit.jupiter.api.Test;

class FairQueueTest {
  private static final AccountId FLOODER = new AccountId("flooder");
  private static final AccountId SMALL = new AccountId("small");

  @Test
  void waitingAccountsAreServedInProportionToTheirWeights() {
    FairQueue<AccountId> queue = new FairQueue<>();
    for (int number = 0; number < 300; number++) {
      queue.add(FLOODER, 10, 1, FLOODER);
      queue.add(SMALL, 30, 1, SMALL);
    }
    Map<AccountId, Integer> served = new HashMap<>();
    for (int count = 0; count < 200; count++) {
      served.merge(queue.poll().orElseThrow(), 1, Integer::sum);
    }
    assertEquals(150, served.get(SMALL), 2);
  }

  @Test
  void aSmallRequestDoesNotWaitBehindAFloodOfLongOnes() {
    FairQueue<AccountId> queue = new FairQueue<>();
    for (int number = 0; number < 1_000; number++) {
      queue.add(FLOODER, 10, 500, FLOODER);
    }
    queue.poll();
    queue.add(SMALL, 10, 1, SMALL);
    AccountId next = queue.poll().orElseThrow();
    AccountId afterIt = queue.poll().orElseThrow();
    assertTrue(next.equals(SMALL) || afterIt.equals(SMALL));
  }

  @Test
  void aRemovedEntryIsNotReturned() {
    FairQueue<AccountId> queue = new FairQueue<>();
    FairQueue.Entry<AccountId> entry = queue.add(SMALL, 1, 1, SMALL);
    queue.remove(entry);
    assertTrue(queue.poll().isEmpty());
  }
}
