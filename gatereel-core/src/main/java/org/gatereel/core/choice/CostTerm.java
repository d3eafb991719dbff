package org.gatereel.core.choice;

/**
 * One term of the cost by which targets are compared, in units of one open request.
 *
 * <p>A negative cost makes a target preferable.
 */
public enum CostTerm {
  /** Open requests share the steps of an engine, or the workers of a plain service. */
  OPEN {
    @Override
    double cost(Candidate candidate) {
      return candidate.pace().relativeTime() * candidate.openRequests();
    }
  },
  /** Reading a prompt delays all other requests at the same engine. */
  READING {
    @Override
    double cost(Candidate candidate) {
      return candidate.pace().relativeTime() * READING_COST * candidate.prefills();
    }
  },
  /** The prompt of this request takes longer to read at a slow target. */
  SPEED {
    @Override
    double cost(Candidate candidate) {
      if (candidate.isEngine()) {
        return READING_COST * (candidate.pace().relativeTime() - 1);
      }
      return candidate.pace().isPassedOver() ? PASSED_OVER_COST : 0;
    }
  },
  /** A copy takes memory and may be resumed as an execution. */
  COPIES {
    @Override
    double cost(Candidate candidate) {
      return COPY_COST * candidate.copies();
    }
  },
  /**
   * An engine that is out of memory drops its newest execution, whose prompt is then read again.
   */
  MEMORY {
    @Override
    double cost(Candidate candidate) {
      return candidate.isMemoryFull() ? SUSPECTED_COST : 0;
    }
  },
  /** Traffic between data centres is charged for, and a network partition breaks the request. */
  DISTANCE {
    @Override
    double cost(Candidate candidate) {
      double cost = candidate.isEngine() ? REMOTE_EXECUTION_COST : REMOTE_CALL_COST;
      return candidate.isRemote() ? cost : 0;
    }
  },
  /** This host observed a failure of the target and waits for a backoff. */
  FAILING {
    @Override
    double cost(Candidate candidate) {
      return candidate.isFailing() ? FAILING_COST : 0;
    }
  },
  /** Another host reported a failure, which this host has not observed itself. */
  FAILED_ELSEWHERE {
    @Override
    double cost(Candidate candidate) {
      return candidate.failedElsewhere() ? SUSPECTED_COST : 0;
    }
  },
  /** The target requested a backoff from another host, so the total load is too high for it. */
  RESTS_ELSEWHERE {
    @Override
    double cost(Candidate candidate) {
      return candidate.backsOffElsewhere() ? SUSPECTED_COST : 0;
    }
  },
  /** The target returns more errors than other targets of its service. */
  ERRORS {
    @Override
    double cost(Candidate candidate) {
      return ERROR_COST * candidate.excessErrors();
    }
  },
  /** Other targets of the data centre failed recently; such failures are often correlated. */
  DATA_CENTRE_DOUBTED {
    @Override
    double cost(Candidate candidate) {
      return SUSPECTED_COST * candidate.excessDataCentreFailures();
    }
  },
  /** The target has cached the prompt, so it need not read it again. */
  PROMPT_READ {
    @Override
    double cost(Candidate candidate) {
      return candidate.hasPromptCached() ? -PROMPT_CACHED_COST : 0;
    }
  },
  /** Prevents hosts with the same information from selecting the same target. */
  JITTER {
    @Override
    double cost(Candidate candidate) {
      return MAX_JITTER_COST * candidate.context().random().nextDouble();
    }

    @Override
    boolean isReported() {
      return false;
    }
  };

  /**
   * Added to the cost of the open request itself: a prompt waits until the one before it has been
   * read, about a second.
   */
  private static final double READING_COST = 2;

  /** Outweighs the request that one host usually has open at a plain target. */
  private static final double PASSED_OVER_COST = 1;

  /** Less than an open request, because only about one copy in seven is resumed. */
  private static final double COPY_COST = 0.3;

  /**
   * An execution is exposed to network partitions for as long as it lasts. With a higher cost,
   * local engines would have several prompts to read while remote engines have none.
   */
  private static final double REMOTE_EXECUTION_COST = 1.5;

  /**
   * Less than one open request, so that calls go to another data centre when local targets are
   * slower.
   */
  private static final double REMOTE_CALL_COST = 0.5;

  /**
   * Outweighs the low load of a target that fails each request immediately, for some six seconds
   * after one excess error.
   */
  private static final double ERROR_COST = 6;

  /** Exceeds any load, so that a failing target is selected only if there is no other. */
  private static final double FAILING_COST = 100;

  /** Exceeds usual differences in load, but not {@link #FAILING_COST}. */
  private static final double SUSPECTED_COST = 10;

  /**
   * Covers the delay that reading a prompt causes to the other requests of an engine under usual
   * load, and {@link #REMOTE_EXECUTION_COST}.
   */
  private static final double PROMPT_CACHED_COST = 6.5;

  /** Less than the smallest significant difference of the other terms. */
  private static final double MAX_JITTER_COST = 0.25;

  private static final CostTerm[] TERMS = values();

  abstract double cost(Candidate candidate);

  /** Returns whether the term is listed among the reasons of a choice. */
  boolean isReported() {
    return true;
  }

  /** Returns whether no failure, error or backoff of the target is known. */
  static boolean isHealthy(Candidate candidate) {
    return !candidate.isFailing()
        && !candidate.failedElsewhere()
        && !candidate.backsOffElsewhere()
        && candidate.excessErrors() == 0
        && candidate.excessDataCentreFailures() == 0;
  }

  static double totalCost(Candidate candidate) {
    double sum = 0;
    for (CostTerm term : TERMS) {
      sum += term.cost(candidate);
    }
    return sum;
  }
}
