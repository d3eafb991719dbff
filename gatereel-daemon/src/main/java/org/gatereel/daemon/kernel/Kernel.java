package org.gatereel.daemon.kernel;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.gatereel.core.GatereelException;

/**
 * Starts services, looks them up by name and closes them in reverse order of their start.
 *
 * <pre>{@code
 * try (Kernel kernel = new Kernel()) {
 *   kernel.start(Services.EVENTS, services -> new EventLog(settings));
 *   kernel.start(Services.PEERS, services -> new Peers(services.find(Services.EVENTS)));
 * }
 * }</pre>
 *
 * @since 0.1.0
 */
public final class Kernel implements AutoCloseable {
  private final Map<String, AutoCloseable> services = new HashMap<>();
  private final Deque<ServiceKey<?>> order = new ArrayDeque<>();

  /** Creates a service, which may use all services that were started before it. */
  public interface Starter<T> {
    T start(Kernel kernel) throws GatereelException;
  }

  /**
   * Starts a service and registers it under its name.
   *
   * @throws GatereelException if the name is in use or the service cannot start; other services are
   *     unaffected
   */
  public <T extends AutoCloseable> T start(ServiceKey<T> key, Starter<T> starter)
      throws GatereelException {
    if (services.containsKey(key.name())) {
      throw new ServiceException(key.name(), "is already started");
    }
    T service = starter.start(this);
    services.put(key.name(), service);
    order.push(key);
    return service;
  }

  /**
   * Returns a service that was started before.
   *
   * @throws ServiceException if no service with this name was started
   */
  public <T extends AutoCloseable> T find(ServiceKey<T> key) throws ServiceException {
    AutoCloseable service = services.get(key.name());
    if (service == null) {
      throw new ServiceException(key.name(), "was not started");
    }
    return key.type().cast(service);
  }

  /**
   * Closes all services in reverse order, even if some fail to close.
   *
   * @throws ServiceException if a service failed to close; further failures are suppressed
   *     exceptions of it
   */
  @Override
  public void close() throws ServiceException {
    ServiceException failure = null;
    while (!order.isEmpty()) {
      String name = order.pop().name();
      try {
        services.remove(name).close();
      } catch (Exception e) {
        ServiceException next = new ServiceException(name, "failed to close", e);
        if (failure == null) {
          failure = next;
        } else {
          failure.addSuppressed(next);
        }
      }
    }
    if (failure != null) {
      throw failure;
    }
  }
}
