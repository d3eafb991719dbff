/**
 * Which requests are refused at once where a service is asked for more than it can do.
 *
 * <p>Decisions only. What hosts must know of each other for them travels with the loads ({@link
 * org.gatereel.core.load.LoadExchange}). A service with room feels none of this.
 */
package org.gatereel.core.overload;
