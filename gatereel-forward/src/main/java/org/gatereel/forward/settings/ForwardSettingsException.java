package org.gatereel.forward.settings;

import java.util.List;
import org.gatereel.core.GatereelException;

/** Thrown for settings that are invalid or cannot be read. */
public final class ForwardSettingsException extends GatereelException {
  private static final long serialVersionUID = 1L;

  private final transient List<String> mistakes;

  ForwardSettingsException(List<String> mistakes) {
    super(String.join("; ", mistakes));
    this.mistakes = List.copyOf(mistakes);
  }

  /** Returns one message for each error found. */
  public List<String> mistakes() {
    return mistakes;
  }
}
