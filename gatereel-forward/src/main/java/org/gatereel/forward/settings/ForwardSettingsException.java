package org.gatereel.forward.settings;

import java.util.List;
import org.gatereel.core.GatereelException;

/** Thrown for settings that are invalid or cannot be read. */
public final class ForwardSettingsException extends GatereelException {
  private static final long serialVersionUID = 1L;

  private final transient List<String> errors;

  ForwardSettingsException(List<String> errors) {
    super(String.join("; ", errors));
    this.errors = List.copyOf(errors);
  }

  /** Returns one message for each error found. */
  public List<String> errors() {
    return errors;
  }
}
