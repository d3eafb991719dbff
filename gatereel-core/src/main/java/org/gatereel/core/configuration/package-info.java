/**
 * The operators' configuration: routes, services, client accounts and the limits of inbound
 * requests.
 *
 * <p>A {@link org.gatereel.core.configuration.Configuration} is one immutable version. How a host
 * learns of versions and how old one may be is decided elsewhere.
 */
package org.gatereel.core.configuration;
