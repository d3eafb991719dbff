package org.gatereel.core.forward;

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
import org.gatereel.core.forward.HostDirectory.Entry;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.limit.TokenGrant;
import org.gatereel.core.limit.TokenRequest;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.DataCentre;
import org.gatereel.core.model.HostId;
import org.gatereel.core.model.ServiceName;
import org.junit.jupiter.api.Test;

/** Several hosts that share one budget. */
class RetryBudgetsTest {
  private static final ServiceName SERVICE = new ServiceName("engines");
  private static final ForwardPolicy.RetryLimit LIMIT =
      new ForwardPolicy.RetryLimit(0.8, 150, 10_000);
  private static final int HOSTS = 60;
  private static final int DATA_CENTRES = 3;

  private final Map<Address, Host> hosts = new HashMap<>();
  private final List<IntConsumer> unanswered = new ArrayList<>();
  private boolean lendersAnswer = true;

  private final class Host {
    private final CoreContext context;
    private final HostDirectory directory;
    private final RetryBudgets budgets;

    private Host(int number) {
      context =
          new CoreContext(
              new HostId("h" + number), dataCentre(number), new SplittableRandom(number));
      directory = new HostDirectory(context, address(number));
      budgets = new RetryBudgets(context, LIMIT, directory, this::borrow);
    }

    private void borrow(
        Address lender, TokenRequest subject, int count, Consumer<Optional<TokenGrant>> answer) {
      ServiceName service = ((TokenRequest.RetryTokens) subject).service();
      IntConsumer given = lent -> answer.accept(Optional.of(new TokenGrant(lent, 0)));
      if (lendersAnswer) {
        given.accept(hosts.get(lender).budgets.issue(service, count));
      } else {
        unanswered.add(given);
      }
    }

    /** Takes as many repeats as there are, at most {@code most}. */
    private int take(int most) {
      int[] granted = new int[1];
      for (int index = 0; index < most; index++) {
        budgets.acquire(SERVICE, yes -> granted[0] += yes ? 1 : 0);
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
  void aHostThatNeedsManyAtOnceHasWhatItsDataCentreDoesNotUse() {
    int granted = hosts.get(address(7)).take(30);

    assertTrue(granted >= 20, "granted " + granted);
  }

  @Test
  void allHostsTogetherStayWithinTheBudget() {
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
        granted += host.take(10);
      }
    }

    assertTrue(granted <= 0.8 * requests + 150, granted + " for " + requests);
    assertTrue(granted > 0.8 * 0.8 * requests + 0.6 * 150, granted + " for " + requests);
  }

  @Test
  void aHostThatReachesNoLenderHasItsOwnPart() {
    lendersAnswer = false;
    Host host = borrower();
    host.budgets.recordRequest(SERVICE);
    host.budgets.recordRequest(SERVICE);

    assertEquals(2, host.take(5));
    unanswered.get(0).accept(0);
    assertEquals(2, unanswered.size(), "those that waited meanwhile are asked for together");
  }

  @Test
  void repeatsThatAreWaitedForAreAskedForTogether() {
    lendersAnswer = false;
    Host host = borrower();
    assertEquals(1, host.take(1), "its own part");
    List<Boolean> answers = new ArrayList<>();
    for (int index = 0; index < 4; index++) {
      host.budgets.acquire(SERVICE, answers::add);
    }
    assertEquals(1, unanswered.size());
    assertEquals(List.of(), answers);

    unanswered.get(0).accept(1);
    unanswered.get(1).accept(2);

    assertEquals(List.of(true, true, true, false), answers);
    assertFalse(unanswered.size() > 2);
  }

  /** Whoever is answered may need a repeat again at once, while others still wait for theirs. */
  @Test
  void anAnswerThatAsksAgainTakesNobodysPlace() {
    lendersAnswer = false;
    Host host = borrower();
    assertEquals(1, host.take(1), "its own part");
    List<Boolean> answers = new ArrayList<>();
    host.budgets.acquire(SERVICE, answers::add);
    host.budgets.acquire(
        SERVICE,
        granted -> {
          answers.add(granted);
          host.budgets.acquire(SERVICE, answers::add);
        });
    host.budgets.acquire(SERVICE, answers::add);

    for (int asked = 0; asked < unanswered.size(); asked++) {
      unanswered.get(asked).accept(1);
    }

    assertEquals(4, answers.size());
  }

  /** Returns a host that does not lend itself. */
  private Host borrower() {
    return hosts.values().stream()
        .filter(host -> host.directory.reader(0).isPresent())
        .findFirst()
        .orElseThrow();
  }
}
