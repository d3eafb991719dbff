package org.gatereel.standins;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.gatereel.standins.engine.EngineStandIn;
import org.gatereel.standins.load.AskCommand;
import org.gatereel.standins.measure.MeasureCommand;
import org.gatereel.standins.platform.PlatformStandIn;
import org.gatereel.standins.relay.Relay;
import org.gatereel.standins.service.ServiceStandIn;

/** Starts one stand-in, or a tool that goes with them. */
public final class StandInMain {
  private static final int USAGE = 2;

  private StandInMain() {}

  /** The options that all stand-ins have. */
  static class ServerOptions {
    @Parameter(names = "--port", required = true, description = "loopback port to serve on")
    int port;

    @Parameter(names = "--name", description = "name, as targets are called in the host list")
    String name = "stand-in";
  }

  static final class PlatformOptions extends ServerOptions {
    @Parameter(names = "--writes", description = "writing calls a second")
    double writes = 400;

    @Parameter(names = "--reads", description = "reads a second")
    double reads = 2_000;

    @Parameter(names = "--list-lag-millis", description = "how late the host list is")
    long lagMillis = 3_000;
  }

  static final class EngineOptions extends ServerOptions {
    @Parameter(names = "--slots", description = "streams in the batch")
    int slots = 16;

    @Parameter(names = "--step-micros", description = "time of one step of the batch")
    long stepMicros = 26_000;

    @Parameter(names = "--prefill-micros", description = "time for one uncached prompt token")
    long prefillMicros = 100;

    @Parameter(names = "--cache-blocks", description = "blocks of 16 tokens in the cache")
    int cacheBlocks = 4_096;
  }

  static final class RelayOptions extends ServerOptions {
    @Parameter(names = "--to", required = true, description = "loopback port to pass on to")
    int to;

    @Parameter(
        names = "--control-port",
        required = true,
        description = "port for POST /control/freeze (cut) and /control/thaw (heal)")
    int controlPort;
  }

  static final class PortsOptions {
    @Parameter(names = "--count", description = "how many free ports to print")
    int count = 1;
  }

  static final class ServiceOptions extends ServerOptions {
    @Parameter(names = "--work-millis", description = "how long a call runs")
    long workMillis = 5;
  }

  /** Runs the command that the arguments name. */
  public static void main(String[] arguments) throws Exception {
    PlatformOptions platform = new PlatformOptions();
    EngineOptions engine = new EngineOptions();
    ServiceOptions service = new ServiceOptions();
    AskCommand ask = new AskCommand();
    PortsOptions ports = new PortsOptions();
    MeasureCommand measure = new MeasureCommand();
    RelayOptions relay = new RelayOptions();
    JCommander commander =
        JCommander.newBuilder()
            .programName("standins")
            .addCommand("platform", platform)
            .addCommand("engine", engine)
            .addCommand("service", service)
            .addCommand("ask", ask)
            .addCommand("measure", measure)
            .addCommand("ports", ports)
            .addCommand("relay", relay)
            .build();
    try {
      commander.parse(arguments);
    } catch (ParameterException e) {
      System.err.println(e.getMessage());
      System.exit(USAGE);
    }
    switch (String.valueOf(commander.getParsedCommand())) {
      case "platform" ->
          serve(
              new PlatformStandIn(
                  platform.port,
                  new PlatformStandIn.Limits(
                      platform.writes, platform.reads, 10, platform.lagMillis)));
      case "engine" ->
          serve(
              new EngineStandIn(
                  engine.port,
                  new EngineStandIn.Settings(
                      engine.name,
                      engine.slots,
                      engine.stepMicros,
                      engine.prefillMicros,
                      engine.cacheBlocks)));
      case "service" -> serve(new ServiceStandIn(service.port, service.name, service.workMillis));
      case "ask" -> System.exit(ask.run());
      case "relay" -> serveRelay(relay);
      case "measure" -> System.exit(measure.run());
      case "ports" -> printFreePorts(ports.count);
      default -> {
        commander.usage();
        System.exit(USAGE);
      }
    }
  }

  /** Prints free ports; all stay bound until the last one is known, so that they differ. */
  private static void printFreePorts(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      sockets.add(socket);
      System.out.println(socket.getLocalPort());
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
  }

  private static void serveRelay(RelayOptions options) throws Exception {
    Relay relay = new Relay(options.port, options.to);
    Control control = new Control(relay::cut, factor -> {});
    try (relay) {
      serve(new StandInServer(options.controlPort, control::route));
    }
  }

  private static void serve(AutoCloseable standIn) throws Exception {
    try (standIn) {
      System.out.println("ready");
      new CountDownLatch(1).await();
    }
  }
}
