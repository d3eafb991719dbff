package org.gatereel.daemon.settings;

import java.util.List;
import org.gatereel.core.GatereelException;

/** Thrown when settings are invalid; lists all mistakes. */
public final class SettingsException extends GatereelException {
  private static final long serialVersionUID = 1L;
  private final transient List<Mistake> mistakes;

  /**
   * An invalid setting.
   *
   * @param key the path of the setting, for example {@code peers[2].httpAddress.port}
   * @param value the invalid value
   * @param allowed a description of the valid values
   */
  public record Mistake(String key, String value, String allowed) {
    @Override
    public String toString() {
      return key + ": " + value + " is not allowed here; allowed: " + allowed;
    }
  }

  public SettingsException(List<Mistake> mistakes) {
    super(String.join(System.lineSeparator(), mistakes.stream().map(Mistake::toString).toList()));
    this.mistakes = List.copyOf(mistakes);
  }

  public List<Mistake> mistakes() {
    return mistakes;
  }
}
