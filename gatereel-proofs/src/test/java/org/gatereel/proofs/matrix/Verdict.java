package org.gatereel.proofs.matrix;

/** What came of one case of the matrix. */
public enum Verdict {
  PASSED,
  FAILED,
  /** The step was never reached, so that the fault did not happen. */
  NOT_RUN
}
