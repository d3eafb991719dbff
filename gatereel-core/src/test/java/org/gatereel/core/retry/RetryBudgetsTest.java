package org.gatereel.core.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.gatereel.core.document.HostDirectory;
import org.gatereel.core.document.HostDirectory.Entry;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.limit.TokenGrant;
import org.gatereel.core.limit.TokenRequest;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.ServiceName;
import org.junit.jupiter.api.Test;

/** Retry budgets that several hosts share. */
class RetryBudgetsTest {
  private static final ServiceName SERVICE = new ServiceName("engines");
  private static final RetryLimit LIMIT = new RetryLimit(0.8, 150, 10_000);
  private static final int HOSTS = 60;
  private static final int DATA_CENTRES = 3;

  private final Map<Address, Host> hosts = new HashMap<>();
  private final List<IntConsumer> pendingLoans = new ArrayList<>();
  private boolean issuersRespond = true;

  private final class Host {
    private final CoreContext context;
    private final HostDirectory directory;
    private final RetryBudgets budgets;

    private Host(int number) {
      context =
          new CoreContext(
              new HostId("h" + number), dataCentre(number), new SplittableRandom(number));
      directory = new HostDirectory(context, address(number));
      budgets = new RetryBudgets(context, LIMIT, directory, this::requestLoan);
    }

    private void requestLoan(
        Address issuer, TokenRequest subject, int count, Consumer<Optional<TokenGrant>> response) {
      ServiceName service = ((TokenRequest.RetryTokens) subject).service();
      IntConsumer onGranted =
          grantedCount -> response.accept(Optional.of(new TokenGrant(grantedCount, 0)));
      if (issuersRespond) {
        onGranted.accept(hosts.get(issuer).budgets.issue(service, count));
      } else {
        pendingLoans.add(onGranted);
      }
    }

    /** Acquires up to {@code maxRetries} retries; returns how many were granted. */
    private int acquire(int maxRetries) {
      int[] granted = new int[1];
      for (int index = 0; index < maxRetries; index++) {
        budgets.acquire(SERVICE, isGranted -> granted[0] += isGranted ? 1 : 0);
      }
      return granted[0];
    }
  }

  RetryBudgetsTest() {
    List<Entry> entries = new ArrayList<>();
    for (int number = 0; number < HOSTS; number++) {
      entries.add(new Entry("h" + number, dataCentre(number), address(number), 0));
      hosts.put(address(number), new Host(number));
    }
    for (Host host : hosts.values()) {
      for (int reading = 0; reading < 3; reading++) {
        host.directory.update(entries, 0);
      }
    }
  }

  private static DataCentre dataCentre(int number) {
    return new DataCentre("d" + number % DATA_CENTRES);
  }

  private static Address address(int number) {
    return new Address("10.0.0." + number, 7_215);
  }

  @Test
  void hostCanUseUnusedBudgetOfItsDataCentre() {
    int granted = hosts.get(address(7)).acquire(30);

    assertTrue(granted >= 20, "granted " + granted);
  }

  @Test
  void allHostsTogetherStayWithinBudget() {
    int requests = 0;
    int granted = 0;
    for (Host host : hosts.values()) {
      for (int request = 0; request < 3; request++) {
        host.budgets.recordRequest(SERVICE);
        requests++;
      }
    }
    for (int round = 0; round < 3; round++) {
      for (Host host : hosts.values()) {
        granted += host.acquire(10);
      }
    }

    assertTrue(granted <= 0.8 * requests + 150, granted + " for " + requests);
    assertTrue(granted > 0.8 * 0.8 * requests + 0.6 * 150, granted + " for " + requests);
  }

  @Test
  void hostWithoutReachableIssuerUsesLocalBudget() {
    issuersRespond = false;
    Host host = hostWithoutIssuerRole();
    host.budgets.recordRequest(SERVICE);
    host.budgets.recordRequest(SERVICE);

    assertEquals(2, host.acquire(5));
    pendingLoans.get(0).accept(0);
    assertEquals(2, pendingLoans.size(), "retries that waited are requested together");
  }

  @Test
  void pendingRetriesAreRequestedTogether() {
    issuersRespond = false;
    Host host = hostWithoutIssuerRole();
    assertEquals(1, host.acquire(1), "local budget");
    List<Boolean> results = new ArrayList<>();
    for (int index = 0; index < 4; index++) {
      host.budgets.acquire(SERVICE, results::add);
    }
    assertEquals(1, pendingLoans.size());
    assertEquals(List.of(), results);

    pendingLoans.get(0).accept(1);
    pendingLoans.get(1).accept(2);

    assertEquals(List.of(true, true, true, false), results);
    assertFalse(pendingLoans.size() > 2);
  }

  /** A waiter may request another retry from within its callback while others still wait. */
  @Test
  void reentrantRequestDoesNotDropOtherWaiters() {
    issuersRespond = false;
    Host host = hostWithoutIssuerRole();
    assertEquals(1, host.acquire(1), "local budget");
    List<Boolean> results = new ArrayList<>();
    host.budgets.acquire(SERVICE, results::add);
    host.budgets.acquire(
        SERVICE,
        granted -> {
          results.add(granted);
          host.budgets.acquire(SERVICE, results::add);
        });
    host.budgets.acquire(SERVICE, results::add);

    for (int index = 0; index < pendingLoans.size(); index++) {
      pendingLoans.get(index).accept(1);
    }

    assertEquals(4, results.size());
  }

  /** Returns a host that is not an issuer. */
  private Host hostWithoutIssuerRole() {
    return hosts.values().stream()
        .filter(host -> host.directory.reader(0).isPresent())
        .findFirst()
        .orElseThrow();
  }
}
