package org.gatereel.proofs.matrix;

import java.util.List;

/**
 * One case of the matrix with its verdict.
 *
 * @param longestGapMillis the longest wait of the caller between two tokens, in made-up time
 */
public record MatrixResult(
    String subject,
    String step,
    List<String> faults,
    Verdict verdict,
    List<String> violations,
    long longestGapMillis) {
  public MatrixResult {
    faults = List.copyOf(faults);
    violations = List.copyOf(violations);
  }

  @Override
  public String toString() {
    return subject + " at " + step + " with " + faults + ": " + verdict + " " + violations;
  }
}
