package org.gatereel.proofs.matrix;

import java.io.PrintStream;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.gatereel.proofs.Promise;

/** Prints the matrix: a table a subject, and what came of each promise. */
public final class MatrixTable {
  private MatrixTable() {}

  /** Prints results; each cell counts the cases of a fault, alone and as the first of a pair. */
  public static void print(PrintStream out, List<MatrixResult> results) {
    for (String subject : subjects(results)) {
      List<MatrixResult> ofSubject =
          results.stream().filter(result -> result.subject().equals(subject)).toList();
      printSubject(out, subject, ofSubject);
    }
    for (Promise promise : Promise.values()) {
      long broken =
          results.stream()
              .filter(
                  result ->
                      result.violations().stream()
                          .anyMatch(text -> text.startsWith(promise.name())))
              .count();
      out.printf("%-22s broken in %d of %d cases%n", promise, broken, results.size());
    }
    results.stream()
        .filter(result -> result.verdict() == Verdict.FAILED)
        .forEach(result -> out.println(result));
    for (Verdict verdict : Verdict.values()) {
      out.println(verdict + ": " + results.stream().filter(r -> r.verdict() == verdict).count());
    }
  }

  private static Set<String> subjects(List<MatrixResult> results) {
    return results.stream()
        .map(MatrixResult::subject)
        .collect(Collectors.toCollection(LinkedHashSet::new));
  }

  private static void printSubject(PrintStream out, String subject, List<MatrixResult> results) {
    Set<String> steps = new LinkedHashSet<>();
    Set<String> faults = new LinkedHashSet<>();
    results.forEach(result -> steps.add(result.step()));
    results.forEach(result -> faults.add(result.faults().get(0)));
    out.printf("%n%-34s", subject + " (passed/failed/not run)");
    steps.forEach(step -> out.printf(" %-16s", step));
    out.println();
    for (String fault : faults) {
      out.printf("%-34s", fault);
      for (String step : steps) {
        List<MatrixResult> cell =
            results.stream()
                .filter(result -> result.step().equals(step))
                .filter(result -> result.faults().get(0).equals(fault))
                .toList();
        out.printf(" %-16s", counts(cell));
      }
      out.println();
    }
  }

  private static String counts(List<MatrixResult> cell) {
    StringBuilder counts = new StringBuilder();
    for (Verdict verdict : Verdict.values()) {
      long count = cell.stream().filter(result -> result.verdict() == verdict).count();
      counts.append(counts.length() == 0 ? "" : "/").append(count);
    }
    return counts.toString();
  }
}
