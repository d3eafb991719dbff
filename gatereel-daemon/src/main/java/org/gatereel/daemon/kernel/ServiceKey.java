package org.gatereel.daemon.kernel;

/**
 * The name and type under which a service is registered.
 *
 * @param name unique in one kernel
 * @param type the type that a lookup returns
 */
public record ServiceKey<T extends AutoCloseable>(String name, Class<T> type) {}
