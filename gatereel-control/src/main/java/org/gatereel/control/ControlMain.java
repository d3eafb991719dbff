package org.gatereel.control;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.LinkedHashMap;
import java.util.Map;
import org.gatereel.control.table.TableCommands;
import org.gatereel.control.table.TableFiles;
import org.gatereel.control.table.WaitCommand;

/** The command {@code gatereelctl}. */
public final class ControlMain {
  private static final String TABLE = "table";

  private final GlobalOptions options = new GlobalOptions();
  private final Map<String, Command> commands = new LinkedHashMap<>();
  private final Map<String, Command> tableCommands = new LinkedHashMap<>();
  private final JCommander commander =
      JCommander.newBuilder().programName("gatereelctl").addObject(options).build();

  private ControlMain() {
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
    Help tableHelp = new Help();
    commander.addCommand(TABLE, tableHelp);
    JCommander table = commander.getCommands().get(TABLE);
    helps.put(table, tableHelp);
    tableCommands.forEach((name, command) -> addCommand(table, name, command));
  }

  /** Help for one command. */
  private static final class Help {
    @com.beust.jcommander.Parameter(names = "--help", help = true, description = "show help")
    private boolean wanted;
  }

  private final Map<JCommander, Help> helps = new LinkedHashMap<>();

  private void addCommand(JCommander parent, String name, Command command) {
    parent.addCommand(name, command);
    JCommander added = parent.getCommands().get(name);
    Help help = new Help();
    helps.put(added, help);
    added.addObject(help);
  }

  /** Runs the command that the arguments name; the exit codes are those of {@link ExitCode}. */
  public static void main(String[] arguments) {
    System.exit(new ControlMain().run(arguments).number());
  }

  private ExitCode run(String... arguments) {
    try {
      commander.parse(arguments);
    } catch (ParameterException e) {
      System.err.println(e.getMessage());
      return ExitCode.USAGE;
    }
    JCommander chosen = chosen();
    boolean isGroup = chosen != null && chosen.getObjects().get(0) instanceof Help;
    boolean help = options.isHelp() || chosen == null || isGroup || wantsHelp(chosen);
    if (help) {
      (chosen == null ? commander : chosen).usage();
      return options.isHelp() || chosen != null ? ExitCode.DONE : ExitCode.USAGE;
    }
    Command command = (Command) chosen.getObjects().get(0);
    try (AdminClient client = new AdminClient(options.hosts(), options.key())) {
      return command.run(client, new Printer(System.out, options.isJson()));
    } catch (ControlException e) {
      System.err.println(e.getMessage());
      return e.exitCode();
    }
  }

  private boolean wantsHelp(JCommander chosen) {
    Help help = helps.get(chosen);
    return help != null && help.wanted;
  }

  /** Returns the innermost command, or the table group if none of its commands was named. */
  private JCommander chosen() {
    String name = commander.getParsedCommand();
    if (name == null) {
      return null;
    }
    JCommander first = commander.getCommands().get(name);
    String inner = first.getParsedCommand();
    return inner == null ? first : first.getCommands().get(inner);
  }
}
