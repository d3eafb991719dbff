package org.gatereel.control;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import org.gatereel.control.table.TableCommands;
import org.gatereel.control.table.TableFiles;
import org.gatereel.control.table.WaitCommand;

/** The command line tool {@code gatereelctl}. */
public final class ControlMain {
  private static final String TABLE = "table";
  private static final String HELP = "--help";

  private final GlobalOptions options = new GlobalOptions();
  private final Map<String, Command> commands = new LinkedHashMap<>();
  private final Map<String, Command> tableCommands = new LinkedHashMap<>();
  private final JCommander commander =
      JCommander.newBuilder().programName("gatereelctl").addObject(options).build();

  ControlMain() {
    commands.put("status", new HostCommands.Status());
    commands.put("timeline", new HostCommands.Timeline());
    commands.put("drain", new HostCommands.Drain());
    tableCommands.put("list", new TableCommands.ListRows());
    tableCommands.put("get", new TableCommands.Get());
    tableCommands.put("set", new TableCommands.Set());
    tableCommands.put("delete", new TableCommands.Delete());
    tableCommands.put("history", new TableCommands.History());
    tableCommands.put("diff", new TableCommands.Diff());
    tableCommands.put("export", new TableFiles.Export());
    tableCommands.put("import", new TableFiles.Import());
    tableCommands.put("wait", new WaitCommand());
    commands.forEach((name, command) -> addCommand(commander, name, command));
    commander.addCommand("explain", new ExplainCommand());
    commander.addCommand("summary", new SummaryCommand());
    commander.addCommand("rollout", new RolloutCommand());
    commander.addCommand(TABLE, new Group());
    JCommander table = commander.getCommands().get(TABLE);
    tableCommands.forEach((name, command) -> addCommand(table, name, command));
  }

  /** The parent of the table commands; it has no options. */
  private static final class Group {}

  private static void addCommand(JCommander parent, String name, Command command) {
    parent.addCommand(name, command);
  }

  /** Executes the command in the arguments and exits with a code of {@link ExitCode}. */
  public static void main(String[] arguments) {
    System.exit(new ControlMain().run(arguments).number());
  }

  ExitCode run(String... arguments) {
    if (Arrays.asList(arguments).contains(HELP)) {
      innermostCommand(arguments).usage();
      return ExitCode.DONE;
    }
    try {
      commander.parse(arguments);
    } catch (ParameterException e) {
      System.err.println(e.getMessage());
      return ExitCode.USAGE;
    }
    JCommander parsed = parsedCommand();
    Object command = parsed == null ? null : parsed.getObjects().get(0);
    try {
      if (command instanceof LocalCommand local) {
        return local.run(printer());
      }
      if (command instanceof Command remote) {
        return runAgainstHosts(remote);
      }
    } catch (ControlException e) {
      System.err.println(e.getMessage());
      return e.exitCode();
    }
    innermostCommand(arguments).usage();
    return ExitCode.USAGE;
  }

  private ExitCode runAgainstHosts(Command command) throws ControlException {
    try (AdminClient client = new AdminClient(options.hosts(), options.key())) {
      return command.run(client, printer());
    }
  }

  private Printer printer() {
    return new Printer(System.out, options.isJson());
  }

  /** Returns the innermost command in the arguments, ignoring all other arguments. */
  private JCommander innermostCommand(String... arguments) {
    JCommander innermost = commander;
    for (String argument : arguments) {
      innermost = innermost.getCommands().getOrDefault(argument, innermost);
    }
    return innermost;
  }

  /**
   * Returns the innermost command that was parsed, the table group if none of its commands was
   * given, or null if there is no command.
   */
  private JCommander parsedCommand() {
    String name = commander.getParsedCommand();
    if (name == null) {
      return null;
    }
    JCommander first = commander.getCommands().get(name);
    String inner = first.getParsedCommand();
    return inner == null ? first : first.getCommands().get(inner);
  }
}
