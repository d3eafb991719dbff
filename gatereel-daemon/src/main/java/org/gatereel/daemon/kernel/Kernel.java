package org.gatereel.daemon.kernel;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.gatereel.core.GatereelException;

/**
 * Starts services in order, lets them find each other by name, and closes them in reverse.
 *
 * <pre>{@code
 * try (Kernel kernel = new Kernel()) {
 *   kernel.start(Services.EVENTS, found -> new EventLog(settings));
 *   kernel.start(Services.PEERS, found -> new Peers(found.find(Services.EVENTS)));
 * }
 * }</pre>
 *
 * @since 0.1.0
 */
public final class Kernel implements AutoCloseable {
  private final Map<String, AutoCloseable> services = new HashMap<>();
  private final Deque<ServiceKey<?>> order = new ArrayDeque<>();

  /** Makes a service; it may use every service that was started before. */
  public interface Starter<T> {
    T start(Kernel kernel) throws GatereelException;
  }

  /**
   * Starts a service and gives it its name.
   *
   * @throws GatereelException if the service cannot start; those before it stay as they are
   */
  public <T extends AutoCloseable> T start(ServiceKey<T> key, Starter<T> starter)
      throws GatereelException {
    if (services.containsKey(key.name())) {
      throw new ServiceException(key.name(), "was started before");
    }
    T service = starter.start(this);
    services.put(key.name(), service);
    order.push(key);
    return service;
  }

  /**
   * Returns a service that was started before.
   *
   * @throws ServiceException if there is none with this name
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
   * @throws ServiceException if any failed to close; the others are attached to it
   */
  @Override
  public void close() throws ServiceException {
    ServiceException failure = null;
    while (!order.isEmpty()) {
      String name = order.pop().name();
      try {
        services.remove(name).close();
      } catch (Exception e) {
        ServiceException next = new ServiceException(name, "did not close", e);
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
