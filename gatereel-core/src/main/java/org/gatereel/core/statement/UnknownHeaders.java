package org.gatereel.core.statement;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.gatereel.core.event.EventCode;
import org.gatereel.core.internal.CoreContext;
import org.gatereel.core.model.ServiceName;
import org.gatereel.core.model.TargetId;

/** Logs each unknown header in responses of targets once for each service. */
public final class UnknownHeaders {
  /** Bounds the memory and the log lines that targets can cause. */
  private static final int MAX_LOGGED_HEADERS = 200;

  private final CoreContext context;
  private final Set<Header> logged = new HashSet<>();

  private record Header(ServiceName service, String name) {}

  public UnknownHeaders(CoreContext context) {
    this.context = context;
  }

  /**
   * Logs the unknown headers of a response that were not logged before.
   *
   * @param headers the values by name
   */
  public void log(ServiceName service, TargetId target, Map<String, String> headers) {
    headers.forEach((name, value) -> log(new Header(service, name), target, value));
  }

  private void log(Header header, TargetId target, String value) {
    if (logged.size() < MAX_LOGGED_HEADERS && logged.add(header)) {
      context.logEvent(
          EventCode.TARGET_HEADER_UNKNOWN,
          target.toString(),
          "service="
              + header.service()
              + " header="
              + LogText.truncate(header.name())
              + " value="
              + LogText.truncate(value));
    }
  }
}
