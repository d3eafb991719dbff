package org.gatereel.daemon;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.gatereel.core.GatereelException;
import org.gatereel.daemon.settings.Settings;
import org.gatereel.daemon.settings.SettingsException;
import org.gatereel.daemon.settings.SettingsReader;

/** The command {@code gatereel}: runs an entry host until the process is terminated. */
public final class DaemonMain {
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;
  private static final int EXIT_BAD_SETTINGS = 3;

  @Parameter(description = "FILE")
  private String file;

  @Parameter(names = "--check", description = "check the settings and end")
  private boolean check;

  @Parameter(names = "--help", help = true, description = "show this help")
  private boolean help;

  private DaemonMain() {}

  /** Runs the command; exits with 0, 1 (failure), 2 (usage error) or 3 (invalid settings). */
  public static void main(String[] arguments) throws InterruptedException {
    DaemonMain main = new DaemonMain();
    JCommander commander = JCommander.newBuilder().programName("gatereel").addObject(main).build();
    try {
      commander.parse(arguments);
    } catch (ParameterException e) {
      System.err.println(e.getMessage());
      System.exit(EXIT_USAGE);
    }
    if (main.help || main.file == null) {
      commander.usage();
      System.exit(main.help ? 0 : EXIT_USAGE);
    }
    System.exit(main.run());
  }

  private int run() throws InterruptedException {
    try {
      Settings settings = SettingsReader.read(Path.of(file));
      if (check) {
        System.out.println("settings are good");
        return 0;
      }
      Daemon daemon = new Daemon(settings);
      Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "stop"));
      System.out.println("ready");
      new CountDownLatch(1).await();
      return 0;
    } catch (SettingsException e) {
      System.err.println(e.getMessage());
      return EXIT_BAD_SETTINGS;
    } catch (GatereelException e) {
      System.err.println(e.getMessage());
      return EXIT_FAILED;
    }
  }

  private static void stop(Daemon daemon) {
    try {
      daemon.stop();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (GatereelException e) {
      System.err.println(e.getMessage());
    }
  }
}
