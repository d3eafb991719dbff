package org.gatereel.core.forward;

import java.util.Set;
import org.gatereel.core.model.AccountId;

/** A client account and the keys by which its requests are known. */
public record AccountConfiguration(AccountId id, Set<String> keys, int priority) {
  public AccountConfiguration {
    keys = Set.copyOf(keys);
  }
}
