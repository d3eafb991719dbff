package org.gatereel.core.admission;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.gatereel.core.model.AccountId;
import org.junit.jupiter.api.Test;

class ActiveAccountsTest {
  private static final AccountId FLOODER = new AccountId("flooder");
  private static final AccountId SMALL = new AccountId("small");

  private static ActiveAccounts flooded() {
    ActiveAccounts accounts = new ActiveAccounts();
    for (int number = 0; number < 20; number++) {
      accounts.opened(FLOODER, 10, 1_000);
    }
    return accounts;
  }

  @Test
  void theOnlyActiveAccountIsNeverOverItsShare() {
    assertFalse(flooded().isOverShare(FLOODER, 1_000));
  }

  @Test
  void anAccountIsOverItsShareOnlyWhileOthersAreActive() {
    ActiveAccounts accounts = flooded();
    accounts.opened(SMALL, 10, 2_000);
    assertTrue(accounts.isOverShare(FLOODER, 2_000));
    assertFalse(accounts.isOverShare(SMALL, 2_000));
    accounts.closed(SMALL);
    assertTrue(accounts.isOverShare(FLOODER, 11_000));
    assertFalse(accounts.isOverShare(FLOODER, 13_000));
  }

  @Test
  void aLargerWeightGivesALargerShare() {
    ActiveAccounts accounts = new ActiveAccounts();
    for (int number = 0; number < 3; number++) {
      accounts.opened(FLOODER, 30, 0);
    }
    accounts.opened(SMALL, 10, 0);
    assertFalse(accounts.isOverShare(FLOODER, 0));
  }
}
