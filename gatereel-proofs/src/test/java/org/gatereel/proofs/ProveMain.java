package org.gatereel.proofs;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.gatereel.proofs.fuzz.FuzzRun;
import org.gatereel.proofs.matrix.FaultMatrix;
import org.gatereel.proofs.matrix.MatrixResult;
import org.gatereel.proofs.matrix.MatrixTable;
import org.gatereel.proofs.matrix.Verdict;

/** The command {@code bin/prove}: the fault matrix and longer fuzzing. */
public final class ProveMain {
  private static final int USAGE = 2;

  @Parameter(names = "--seed", description = "seed of worlds and sequences")
  private long seed = 20_261_202;

  @Parameter(names = "--tries", description = "how many sequences to fuzz")
  private int tries = 1_000;

  @Parameter(names = "--singles", description = "leave out the pairs of faults")
  private boolean singles;

  @Parameter(
      names = "--trace",
      description = "run one case and print its events: SUBJECT,STEP,FAULT[,FAULT]")
  private List<String> trace = new ArrayList<>();

  @Parameter(
      names = "--replay",
      description = "run one printed sequence and print its events: \"STEP N N,STEP N N\"")
  private List<String> replay = new ArrayList<>();

  @Parameter(names = "--slopes", description = "measure memory and time of parts of the core")
  private boolean slopes;

  @Parameter(names = "--json", description = "file for the results")
  private String json = "target/proofs.json";

  @Parameter(names = "--help", help = true, description = "show this help")
  private boolean help;

  private ProveMain() {}

  private record Report(long seed, int tries, List<MatrixResult> matrix, FuzzRun.Failure fuzz) {}

  /** Runs the command; exits with 1 if anything failed. */
  public static void main(String[] arguments) throws IOException {
    ProveMain main = new ProveMain();
    JCommander commander = JCommander.newBuilder().programName("prove").addObject(main).build();
    try {
      commander.parse(arguments);
    } catch (ParameterException e) {
      System.err.println(e.getMessage());
      System.exit(USAGE);
    }
    if (main.help) {
      commander.usage();
    } else if (main.slopes) {
      new Slopes(System.out).print();
    } else if (main.trace.size() > 2) {
      List<String> faults = main.trace.subList(2, main.trace.size());
      System.out.println(
          new FaultMatrix(main.seed).trace(main.trace.get(0), main.trace.get(1), faults));
    } else if (!main.replay.isEmpty()) {
      System.out.println(FuzzRun.replay(main.seed, main.replay));
    } else {
      System.exit(main.prove());
    }
  }

  private int prove() throws IOException {
    System.out.println("seed " + seed);
    List<MatrixResult> matrix = new FaultMatrix(seed).run(!singles);
    MatrixTable.print(System.out, matrix);
    Optional<FuzzRun.Failure> fuzz = FuzzRun.run(seed, tries);
    System.out.println(
        fuzz.map(failure -> "fuzzing failed: " + failure)
            .orElse("fuzzing: " + tries + " sequences passed"));
    Path file = Path.of(json);
    Files.createDirectories(file.toAbsolutePath().getParent());
    Files.write(
        file,
        new ObjectMapper().writeValueAsBytes(new Report(seed, tries, matrix, fuzz.orElse(null))));
    boolean failed =
        fuzz.isPresent() || matrix.stream().anyMatch(result -> result.verdict() == Verdict.FAILED);
    return failed ? 1 : 0;
  }
}
