package org.gatereel.core.statement;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetId;

/** Logs each header of targets' answers that nothing reads, once for each service. */
public final class UnknownHeaders {
  /** Bounds what a target can make this host remember and log. */
  private static final int MOST_NAMES = 200;

  private final CoreContext context;
  private final Set<Seen> seen = new HashSet<>();

  private record Seen(ServiceName service, String name) {}

  public UnknownHeaders(CoreContext context) {
    this.context = context;
  }

  /** Notes the unknown headers of an answer, with their values. */
  public void note(ServiceName service, TargetId target, Map<String, String> headers) {
    headers.forEach((name, value) -> note(new Seen(service, name), target, value));
  }

  private void note(Seen header, TargetId target, String value) {
    if (seen.size() < MOST_NAMES && seen.add(header)) {
      context.logEvent(
          EventCode.TARGET_HEADER_UNKNOWN,
          target.toString(),
          "service="
              + header.service()
              + " header="
              + StatementText.shortened(header.name())
              + " value="
              + StatementText.shortened(value));
    }
  }
}
