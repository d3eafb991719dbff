package org.gatereel.core.choice;

/**
 * One reason for which a target is better or worse than another, in units of one open request.
 *
 * <p>Each is a cost, so that a reason to prefer a target is negative.
 */
public enum CostTerm {
  /** Requests share the steps of an engine, or the workers of a plain service. */
  OPEN {
    @Override
    double cost(Candidate candidate) {
      return candidate.openRequests();
    }
  },
  /** Two prompts at one engine hold each other up, and all that runs there. */
  READING {
    @Override
    double cost(Candidate candidate) {
      return READING_LOAD * candidate.prefills();
    }
  },
  /** A copy may become a run, and takes memory until then. */
  COPIES {
    @Override
    double cost(Candidate candidate) {
      return COPY_LOAD * candidate.copies();
    }
  },
  /** An engine out of memory drops the newest run, whose prompt is then read again. */
  MEMORY {
    @Override
    double cost(Candidate candidate) {
      return candidate.isMemoryFull() ? DOUBTED_LOAD : 0;
    }
  },
  /** Bytes between data centres are paid for, and a cut between them breaks the request. */
  DISTANCE {
    @Override
    double cost(Candidate candidate) {
      double cost = candidate.isEngine() ? FAR_RUN_LOAD : FAR_CALL_LOAD;
      return candidate.isRemote() ? cost : 0;
    }
  },
  /** This host saw it fail and waits before it asks again. */
  FAILING {
    @Override
    double cost(Candidate candidate) {
      return candidate.isFailing() ? FAILING_LOAD : 0;
    }
  },
  /** Another host saw it fail: a reason to ask elsewhere first, no proof. */
  FAILED_ELSEWHERE {
    @Override
    double cost(Candidate candidate) {
      return candidate.failedElsewhere() ? DOUBTED_LOAD : 0;
    }
  },
  /** It asked another host for rest: what all send is too much for it. */
  RESTS_ELSEWHERE {
    @Override
    double cost(Candidate candidate) {
      return candidate.backsOffElsewhere() ? DOUBTED_LOAD : 0;
    }
  },
  /** It answers with errors more often than others of its service. */
  ERRORS {
    @Override
    double cost(Candidate candidate) {
      return ERROR_LOAD * candidate.excessErrors();
    }
  },
  /** Others of its data centre failed just now, and they often fail together. */
  DATA_CENTRE_DOUBTED {
    @Override
    double cost(Candidate candidate) {
      return DOUBTED_LOAD * candidate.excessDataCentreFailures();
    }
  },
  /** It has read the prompt before, which spares all that runs there the time to read it. */
  PROMPT_READ {
    @Override
    double cost(Candidate candidate) {
      return candidate.hasPromptCached() ? -PROMPT_LOAD : 0;
    }
  },
  /** Hosts that know the same must not all choose the same. */
  JITTER {
    @Override
    double cost(Candidate candidate) {
      return JITTER_LOAD * candidate.context().random().nextDouble();
    }

    @Override
    boolean isReported() {
      return false;
    }
  };

  /**
   * Beside the request itself, which counts as open: a prompt waits for the one before it, about a
   * second.
   */
  private static final double READING_LOAD = 2;

  /** About one copy in seven is used. */
  private static final double COPY_LOAD = 0.3;

  /**
   * A run is broken by each cut between the data centres as long as it lasts; more than this leaves
   * near engines with several prompts to read while others have none.
   */
  private static final double FAR_RUN_LOAD = 1.5;

  /** One open call outweighs it, so that calls go elsewhere as soon as near ones take longer. */
  private static final double FAR_CALL_LOAD = 0.5;

  /**
   * Larger than loads usually differ for some six seconds after one error that stands out: a target
   * that answers with errors at once has little open, and would draw requests.
   */
  private static final double ERROR_LOAD = 6;

  /** Larger than any load, so that a failing target is chosen only if there is no other. */
  private static final double FAILING_LOAD = 100;

  /** Larger than loads usually differ, smaller than what this host saw itself. */
  private static final double DOUBTED_LOAD = 10;

  /** What a prompt costs the runs of an engine that has usual company, and its distance beside. */
  private static final double PROMPT_LOAD = 6.5;

  /** Less than the smallest difference that matters otherwise. */
  private static final double JITTER_LOAD = 0.25;

  private static final CostTerm[] ALL = values();

  abstract double cost(Candidate candidate);

  /** Returns whether this says something of a target, as chance does not. */
  boolean isReported() {
    return true;
  }

  /** Returns whether nothing speaks against a target but its load. */
  static boolean isHealthy(Candidate candidate) {
    return !candidate.isFailing()
        && !candidate.failedElsewhere()
        && !candidate.backsOffElsewhere()
        && candidate.excessErrors() == 0
        && candidate.excessDataCentreFailures() == 0;
  }

  /** Sums up what all considerations say of a target. */
  static double totalCost(Candidate candidate) {
    double sum = 0;
    for (CostTerm consideration : ALL) {
      sum += consideration.cost(candidate);
    }
    return sum;
  }
}
