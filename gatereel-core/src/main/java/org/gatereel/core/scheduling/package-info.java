/**
 * The scheduling features that the settings of a host can enable.
 *
 * <p>Without them, requests are placed by counts of open requests and wait only while a service as
 * a whole is overloaded.
 */
package org.gatereel.core.scheduling;
