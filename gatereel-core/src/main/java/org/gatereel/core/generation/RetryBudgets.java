package org.gatereel.core.generation;

import java.util.HashMap;
import java.util.Map;
import org.gatereel.core.admission.RetryBudget;
import org.gatereel.core.model.ServiceName;

/** The retry budgets, one for each service. */
public final class RetryBudgets {
  private final Map<ServiceName, RetryBudget> budgets = new HashMap<>();

  public RetryBudget forService(ServiceName service) {
    return budgets.computeIfAbsent(service, name -> new RetryBudget());
  }
}
