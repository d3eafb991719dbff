package org.gatereel.core.configuration;

import java.util.Set;
import org.gatereel.core.model.AccountId;

/** A client account and its API keys. Requests of the account are recognized by any of the keys. */
public record AccountConfiguration(AccountId id, Set<String> keys, int priority) {
  public AccountConfiguration {
    keys = Set.copyOf(keys);
  }
}
