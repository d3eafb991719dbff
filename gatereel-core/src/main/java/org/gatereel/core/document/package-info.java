/**
 * The documents of the platform's store, and how each host obtains and confirms them.
 *
 * <p>A few hosts read the store and the others query them. {@link
 * org.gatereel.core.document.HostDirectory} determines which hosts read, {@link
 * org.gatereel.core.document.DocumentRefresher} refreshes the documents of this host, and {@link
 * org.gatereel.core.document.DocumentCache} keeps the newest version of each.
 */
package org.gatereel.core.document;
