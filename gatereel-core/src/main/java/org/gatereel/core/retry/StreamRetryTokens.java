package org.gatereel.core.retry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.gatereel.core.document.HostDirectory;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.limit.TokenGrant;
import org.gatereel.core.limit.TokenPort;
import org.gatereel.core.limit.TokenRequest;
import org.gatereel.core.model.Address;
import org.gatereel.core.model.ServiceName;

/**
 * Acquires retries for streams from the whole budget of a service.
 *
 * <p>When the engines of a data centre end together, the hosts before them need most of the retries
 * of all hosts at once. After this host's share and the one of its data centre, the issuers of the
 * other data centres are asked; what is not granted then is asked for again after a delay, until
 * its time has passed. The sum over all hosts stays within the budget, since each issuer grants out
 * of its own part.
 */
public final class StreamRetryTokens {
  /** A round asks each issuer once; a window of the budget moves by more than this in a slice. */
  private static final long ROUND_DELAY_MILLIS = 200;

  /** Enough to find an unused share while most hosts have one, and few messages otherwise. */
  private static final int LENDERS_IN_ROUND = 16;

  /** A host that did not respond is not asked again for this time. */
  private static final long SILENT_MILLIS = 2_000;

  private final CoreContext context;
  private final RetryBudgets budgets;
  private final HostDirectory directory;
  private final TokenPort port;
  private final Map<ServiceName, Waiters> waitersByService = new HashMap<>();
  private final Map<Address, Long> silentUntil = new HashMap<>();
  private long grantedElsewhere;

  /** A stream that waits for a retry until a time in milliseconds. */
  private record Waiter(long until, BooleanSupplier isWanted, Consumer<Boolean> callback) {}

  private record Question(Address host, TokenRequest subject) {}

  /** The streams of one service that wait; at most one question of theirs is under way. */
  private final class Waiters {
    private final ServiceName service;
    private final Queue<Waiter> waiting = new ArrayDeque<>();
    private boolean inRound;

    private Waiters(ServiceName service) {
      this.service = service;
    }

    private void add(Waiter waiter) {
      waiting.add(waiter);
      if (!inRound) {
        inRound = true;
        askNext(questions());
      }
    }

    /** Returns whom a round asks, in order: issuers first, then some hosts for what they spare. */
    private Queue<Question> questions() {
      Queue<Question> questions = new ArrayDeque<>();
      TokenRequest issued = new TokenRequest.RetryTokens(service, true);
      TokenRequest unused = new TokenRequest.UnusedRetryTokens(service);
      issuersElsewhere().stream()
          .filter(StreamRetryTokens.this::responds)
          .forEach(issuer -> questions.add(new Question(issuer, issued)));
      for (int asked = 0; asked < LENDERS_IN_ROUND; asked++) {
        directory
            .anyOtherHost(context.random())
            .filter(StreamRetryTokens.this::responds)
            .ifPresent(lender -> questions.add(new Question(lender, unused)));
      }
      return questions;
    }

    private void askNext(Queue<Question> questions) {
      waiting.removeIf(waiter -> !waiter.isWanted().getAsBoolean());
      endExpired();
      while (!questions.isEmpty() && !responds(questions.element().host())) {
        questions.remove();
      }
      if (waiting.isEmpty()) {
        inRound = false;
      } else if (questions.isEmpty()) {
        context.schedule(ROUND_DELAY_MILLIS, this::startRound);
      } else {
        Question question = questions.remove();
        port.requestTokens(
            question.host(),
            question.subject(),
            waiting.size(),
            grant -> {
              recordResponse(question.host(), grant.isPresent());
              serve(grant.orElse(TokenGrant.NONE).granted());
              askNext(questions);
            });
      }
    }

    private void endExpired() {
      List<Waiter> expired = new ArrayList<>(waiting);
      expired.removeIf(waiter -> waiter.until() > context.now());
      waiting.removeAll(expired);
      expired.forEach(waiter -> waiter.callback().accept(false));
    }

    /** Gives the granted retries to those that have waited longest. */
    private void serve(int granted) {
      List<Waiter> served = new ArrayList<>();
      while (served.size() < granted && !waiting.isEmpty()) {
        Waiter first = waiting.remove();
        if (first.isWanted().getAsBoolean()) {
          served.add(first);
        }
      }
      grantedElsewhere += served.size();
      served.forEach(waiter -> waiter.callback().accept(true));
    }

    /** Ends the waits that are over; the others ask all issuers again, the nearest first. */
    private void startRound() {
      inRound = false;
      List<Waiter> waited = new ArrayList<>(waiting);
      waiting.clear();
      for (Waiter waiter : waited) {
        if (waiter.until() <= context.now()) {
          waiter.callback().accept(false);
        } else if (waiter.isWanted().getAsBoolean()) {
          acquire(service, waiter);
        }
      }
    }
  }

  public StreamRetryTokens(
      CoreContext context, RetryBudgets budgets, HostDirectory directory, TokenPort port) {
    this.context = context;
    this.budgets = budgets;
    this.directory = directory;
    this.port = port;
  }

  /**
   * Takes one retry.
   *
   * @param until when waiting ends, in milliseconds
   * @param isWanted whether the request still waits; no retry is taken for one that does not
   * @param callback receives, at once or later, whether a retry was granted
   */
  public void acquire(
      ServiceName service, long until, BooleanSupplier isWanted, Consumer<Boolean> callback) {
    acquire(service, new Waiter(until, isWanted, callback));
  }

  /** Returns how many retries of streams came from other issuers and lenders. */
  public long grantedElsewhere() {
    return grantedElsewhere;
  }

  private void acquire(ServiceName service, Waiter waiter) {
    budgets.acquire(service, granted -> onAnswer(service, waiter, granted));
  }

  private void onAnswer(ServiceName service, Waiter waiter, boolean granted) {
    if (granted) {
      waiter.callback().accept(true);
    } else {
      waitersByService.computeIfAbsent(service, Waiters::new).add(waiter);
    }
  }

  private boolean responds(Address host) {
    return silentUntil.getOrDefault(host, Long.MIN_VALUE) <= context.now();
  }

  private void recordResponse(Address host, boolean responded) {
    if (responded) {
      silentUntil.remove(host);
    } else {
      silentUntil.put(host, context.now() + SILENT_MILLIS);
    }
  }

  /** Returns the host that issues retries in each other data centre, in random order. */
  private List<Address> issuersElsewhere() {
    List<Address> issuers =
        new ArrayList<>(
            directory.hostsOfOtherDataCentres().stream()
                .filter(ranked -> !ranked.isEmpty())
                .map(ranked -> ranked.get(0))
                .toList());
    for (int index = issuers.size() - 1; index > 0; index--) {
      Collections.swap(issuers, index, context.random().nextInt(index + 1));
    }
    return issuers;
  }
}
