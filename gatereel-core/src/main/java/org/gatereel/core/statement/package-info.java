/**
 * What targets say of themselves: the statements that one answer makes, and the facts that hosts
 * keep of them and tell each other.
 *
 * <p>A fact holds for one run of a target. Nothing here decides what follows from it.
 */
package org.gatereel.core.statement;
