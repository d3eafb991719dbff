package org.gatereel.control;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The options of every command. */
public final class GlobalOptions {
  private static final String KEY_VARIABLE = "GATEREEL_KEY";

  @Parameter(names = "--host", description = "address of an entry host, ip:port; may be repeated")
  private List<String> hosts = new ArrayList<>(List.of("127.0.0.1:8080"));

  @Parameter(
      names = "--key-file",
      description = "file with the operator's key; otherwise the variable GATEREEL_KEY is read")
  private Path keyFile;

  @Parameter(names = "--json", description = "print JSON instead of a table")
  private boolean json;

  @Parameter(names = "--help", help = true, description = "show help")
  private boolean help;

  public List<String> hosts() {
    return hosts;
  }

  public boolean isJson() {
    return json;
  }

  public boolean isHelp() {
    return help;
  }

  /**
   * Returns the operator's key.
   *
   * @throws ControlException if there is none or the key file cannot be read
   */
  public String key() throws ControlException {
    if (keyFile != null) {
      try {
        return Files.readString(keyFile).strip();
      } catch (IOException e) {
        throw new ControlException(ExitCode.USAGE, "cannot read " + keyFile, e);
      }
    }
    String key = System.getenv(KEY_VARIABLE);
    if (key == null) {
      throw new ControlException(
          ExitCode.USAGE, "no key: set " + KEY_VARIABLE + " or use --key-file");
    }
    return key;
  }
}
