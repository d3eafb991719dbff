/**
 * How many requests a second a target takes from all hosts together, by its own word, and how hosts
 * keep to it.
 *
 * <p>What a target says is told to all hosts as a fact of its run. For each target one host lends
 * requests out of its limit, and all others ask it before they send one.
 */
package org.gatereel.core.limit;
