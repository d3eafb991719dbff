package org.gatereel.daemon.kernel;

/**
 * The name under which a service of the daemon is found.
 *
 * @param name unique in one kernel
 * @param type what whoever finds it may use it as
 */
public record ServiceKey<T extends AutoCloseable>(String name, Class<T> type) {}
