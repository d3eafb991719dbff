package org.gatereel.standins.measure;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.gatereel.standins.StandInServer;

/** Runs experiments against processes that bin/measure started. */
@Parameters(commandDescription = "run experiments against running processes")
public final class MeasureCommand {
  @Parameter(names = "--host", description = "entry host, ip:port")
  List<String> hosts = new ArrayList<>();

  @Parameter(names = "--engine", description = "engine, name=ip:port")
  List<String> engines = new ArrayList<>();

  @Parameter(names = "--plain-service", description = "plain service, ip:port")
  String service = "";

  @Parameter(names = "--operator-key", description = "the operator's key")
  String operatorKey = "";

  @Parameter(names = "--seed", description = "seed of the load")
  long seed = 20_261_202;

  @Parameter(names = "--json", description = "file for the results")
  String json = "measure.json";

  @Parameter(names = "--list", description = "list the experiments")
  boolean list;

  @Parameter(description = "EXPERIMENT...")
  List<String> experiments = new ArrayList<>();

  private record Report(String experiment, long seed, int hosts, List<Result.Line> lines) {}

  /** Runs the experiments; returns the exit code. */
  public int run() throws Exception {
    if (list) {
      for (Experiment experiment : Experiment.values()) {
        String name = experiment.name().toLowerCase(Locale.ROOT);
        System.out.printf("%-12s %s%n", name, experiment.meaning());
      }
      return 0;
    }
    Map<String, String> engineAddresses = new LinkedHashMap<>();
    for (String engine : engines) {
      int equals = engine.indexOf('=');
      engineAddresses.put(engine.substring(0, equals), "http://" + engine.substring(equals + 1));
    }
    List<String> hostAddresses = hosts.stream().map(host -> "http://" + host).toList();
    List<Report> reports = new ArrayList<>();
    try (Bench bench =
        new Bench(hostAddresses, engineAddresses, "http://" + service, operatorKey)) {
      for (String name : experiments) {
        Experiment experiment = Experiment.valueOf(name.toUpperCase(Locale.ROOT));
        System.out.println("--- " + name + ", seed " + seed + ", " + hosts.size() + " hosts");
        Result result = new Result();
        experiment.run(bench, seed, result);
        reports.add(new Report(name, seed, hosts.size(), result.lines()));
      }
    }
    Files.write(Path.of(json), StandInServer.MAPPER.writeValueAsBytes(reports));
    return 0;
  }
}
