/**
 * Requests under which targets end: how they are recognised when they come again, and what is known
 * of them.
 */
package org.gatereel.core.poison;
