package org.gatereel.daemon.settings;

import java.util.List;
import org.gatereel.core.GatereelException;

/** Settings that cannot be used; it lists every mistake. */
public final class SettingsException extends GatereelException {
  private static final long serialVersionUID = 1L;
  private final transient List<Mistake> mistakes;

  /**
   * One mistake.
   *
   * @param key where it is, for example {@code peers[2].httpAddress.port}
   * @param value what stands there
   * @param allowed what may stand there
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
