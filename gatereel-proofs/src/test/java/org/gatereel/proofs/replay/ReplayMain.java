package org.gatereel.proofs.replay;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.gatereel.core.scheduling.SchedulingFeature;

/** The command {@code bin/replay}: plays a script of load and prints how callers fared. */
public final class ReplayMain {
  private static final int USAGE = 2;

  @Parameter(description = "SCRIPT")
  private List<String> scripts = new ArrayList<>();

  @Parameter(names = "--seed", description = "seed of hosts and callers")
  private long seed = 20_261_202;

  @Parameter(names = "--hosts", description = "how many hosts, in place of the script's")
  private Integer hosts;

  @Parameter(names = "--engines", description = "how many engines, in place of the script's")
  private Integer engines;

  @Parameter(
      names = "--features",
      description = "scheduling features of hosts, in place of the script's; NONE for none")
  private List<String> features;

  @Parameter(names = "--events", description = "file for the events that hosts log")
  private String events;

  @Parameter(names = "--help", help = true, description = "show this help")
  private boolean help;

  private ReplayMain() {}

  /** Runs the command; exits with 2 if it was called wrongly. */
  public static void main(String[] arguments) {
    ReplayMain main = new ReplayMain();
    JCommander commander = JCommander.newBuilder().programName("replay").addObject(main).build();
    try {
      commander.parse(arguments);
    } catch (ParameterException e) {
      System.err.println(e.getMessage());
      System.exit(USAGE);
    }
    if (main.help || main.scripts.size() != 1) {
      commander.usage();
      System.exit(main.help ? 0 : USAGE);
    }
    System.exit(main.run(main.scripts.get(0)));
  }

  /** Plays a script; returns the exit code. */
  private int run(String script) {
    try {
      play(find(script));
      return 0;
    } catch (NoSuchFileException e) {
      System.err.println("no script of this name or path: " + script);
    } catch (IOException e) {
      System.err.println(
          script + " cannot be read: " + e.getMessage().lines().findFirst().orElse(""));
    }
    return USAGE;
  }

  /** Returns a script's file: the one at a path, or one of the project's by its name. */
  private static Path find(String script) {
    Path path = Path.of(script);
    return Files.exists(path)
        ? path
        : Path.of(System.getProperty("replay.scripts", "replays"), script + ".json");
  }

  private Set<SchedulingFeature> enabled() {
    return features.stream()
        .filter(name -> !name.equals("NONE"))
        .map(SchedulingFeature::valueOf)
        .collect(Collectors.toSet());
  }

  private ReplayReport play(ReplayWorld world) throws IOException {
    if (events == null) {
      return world.play();
    }
    try (PrintWriter lines = new PrintWriter(Files.newBufferedWriter(Path.of(events)))) {
      world.listen(lines::println);
      return world.play();
    }
  }

  private void play(Path file) throws IOException {
    try (InputStream text = Files.newInputStream(file)) {
      Script script = Script.read(text);
      Script sized =
          script.sized(
              hosts == null ? script.hosts() : hosts, engines == null ? script.engines() : engines);
      ReplayWorld world = new ReplayWorld(features == null ? sized : sized.with(enabled()), seed);
      play(world).table().forEach((name, value) -> System.out.printf("%-34s %s%n", name, value));
    }
  }
}
